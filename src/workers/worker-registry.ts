import { REPLICA_FRESH_MS } from '../constants/leadership.js';
import { type Count, maxCount } from '../domain/count.js';
import { partitionRole } from '../domain/role.js';
import type { WorkerTimings } from '../domain/settings.js';
import { leaseExpiresAt } from '../domain/worker-deadlines.js';
import {
  degradedServingMs,
  type HeldLeadership,
  type LeadershipTerm,
  type RoleLeadership,
} from '../leadership/role-leadership.js';
import { Worker } from './worker.js';

/** The workers of one partition during one term of its leadership. */
interface PartitionWorkers {
  readonly workers: Map<string, Worker>;
  /** Monotonic ms of the last contact with any worker that was forgotten during the term. */
  lastForgottenContactAt: number;
  /** The highest fencing token under which launches were requested from any of these workers. */
  forgottenLaunchToken: Count;
}

/**
 * The workers of all partitions that this process leads, and since when it has recorded every response to them. Both
 * begin and end with the term of the partition's leadership: that a worker is not registered proves nothing, unless it
 * is also known since when every response to it would have been recorded here.
 */
export class WorkerRegistry {
  /** Keyed by the term, so that the workers are dropped together with the start time that proofs are based on. */
  private readonly partitionsByTerm = new WeakMap<LeadershipTerm, PartitionWorkers>();

  constructor(
    private readonly leadership: RoleLeadership,
    private readonly timings: WorkerTimings,
  ) {}

  /** Returns undefined without contact in this term, or if this node does not lead the partition. */
  get(machineId: string): Worker | undefined {
    return this.partitionOfMachine(machineId)?.workers.get(machineId);
  }

  /** Whether there was contact with the machine's worker in the present term. */
  has(machineId: string): boolean {
    return this.get(machineId) !== undefined;
  }

  /** All workers with contact in the present terms, partition by partition. */
  *values(): Generator<Worker> {
    for (let partition = 0; partition < this.leadership.partitionCount; partition++) yield* this.ofPartition(partition);
  }

  /** The workers of one partition; none if this node does not lead it. */
  ofPartition(partition: number): Iterable<Worker> {
    return this.partitionAt(partition)?.workers.values() ?? [];
  }

  /** Number of workers in all partitions that this node leads. */
  get size(): number {
    let size = 0;
    for (let partition = 0; partition < this.leadership.partitionCount; partition++) {
      size += this.partitionAt(partition)?.workers.size ?? 0;
    }
    return size;
  }

  /** Creates a worker at the first contact. */
  create(machineId: string): Worker {
    return new Worker(machineId, this.partitionOfMachine(machineId)?.forgottenLaunchToken);
  }

  /** Adds a worker that was created here. Without a term of its partition's leadership it is not kept. */
  add(worker: Worker): void {
    this.partitionOfMachine(worker.machineId)?.workers.set(worker.machineId, worker);
  }

  /** Removes the worker of a terminated machine, whose tasks need no further proof of their end. */
  remove(machineId: string): void {
    this.partitionOfMachine(machineId)?.workers.delete(machineId);
  }

  /**
   * Forgets a worker that was silent for long. Its last contact still bounds the leases of workers that are not
   * registered, and the launches sent to it those that may reach workers registered later.
   */
  forget(machineId: string): void {
    const partition = this.partitionOfMachine(machineId);
    const worker = partition?.workers.get(machineId);
    if (partition === undefined || worker === undefined) return;
    partition.workers.delete(machineId);
    partition.lastForgottenContactAt = Math.max(partition.lastForgottenContactAt, lastAnswerableAt(worker));
    partition.forgottenLaunchToken = maxCount(partition.forgottenLaunchToken, worker.launches.highestToken);
  }

  /**
   * Monotonic ms after which the lease of a machine's agent epoch has certainly expired, if no node answers the worker
   * again.
   */
  leaseExpiresAt(machineId: string, held: HeldLeadership): number {
    const partition = this.partitionInTerm(held.term);
    const worker = partition?.workers.get(machineId);
    const latestOwnResponseAt =
      worker === undefined ? (partition?.lastForgottenContactAt ?? -Infinity) : lastAnswerableAt(worker);
    // A worker that has reported this token ignores the responses of former leaders.
    const hasSeenToken = worker !== undefined && worker.fencingToken >= held.fencingToken;
    const latestPossibleResponseAt = hasSeenToken
      ? latestOwnResponseAt
      : Math.max(latestOwnResponseAt, this.formerLeadersAnsweredUntil(held.term));
    return leaseExpiresAt(latestPossibleResponseAt, this.timings.workerLeaseMs);
  }

  /** Monotonic ms after which no other node can have answered a worker that has not yet reported this node's token. */
  private formerLeadersAnsweredUntil(term: LeadershipTerm): number {
    // A former leader's replica may have been complete until its store lease ended, even if only the lease renewals
    // were lost. Any later message from this node would have shown that leader the new leadership record.
    return term.acquiredAt + Math.max(REPLICA_FRESH_MS, degradedServingMs(this.timings));
  }

  private partitionOfMachine(machineId: string): PartitionWorkers | undefined {
    return this.partitionAt(this.leadership.partitionOf(machineId));
  }

  private partitionAt(partition: number): PartitionWorkers | undefined {
    return this.partitionInTerm(this.leadership.termOf(partitionRole(partition)));
  }

  private partitionInTerm(term: LeadershipTerm | undefined): PartitionWorkers | undefined {
    if (term === undefined) return undefined;
    const existing = this.partitionsByTerm.get(term);
    if (existing !== undefined) return existing;
    const partition = {
      workers: new Map<string, Worker>(),
      lastForgottenContactAt: -Infinity,
      forgottenLaunchToken: -Infinity,
    };
    this.partitionsByTerm.set(term, partition);
    return partition;
  }
}

/** Monotonic ms when the last status arrived that this node can have answered. */
const lastAnswerableAt = (worker: Worker): number => Math.max(worker.reachability.answeredAt, worker.lastContactAt);

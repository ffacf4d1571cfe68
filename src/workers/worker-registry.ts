import { REPLICA_FRESH_MS } from '../constants/leadership.js';
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

/** The workers of one partition, for as long as one term of its leadership lasts. */
interface PartitionWorkers {
  readonly workers: Map<string, Worker>;
  /** Steady ms of the last contact with any worker that has been forgotten since the term began. */
  forgottenContactAt: number;
}

/**
 * The workers of all partitions that this process leads, and how far back its knowledge of them reaches. Both begin together,
 * with the term of a partition's leadership, and end together: that nothing is known of a worker proves nothing, unless it is
 * also known since when every answer to it would have been recorded here.
 */
export class WorkerRegistry {
  /** Ends with the term itself: no other lifetime could get out of step with the time that proofs count from. */
  private readonly partitionsByTerm = new WeakMap<LeadershipTerm, PartitionWorkers>();

  constructor(
    private readonly leadership: RoleLeadership,
    private readonly timings: WorkerTimings,
  ) {}

  /** undefined: there was no contact with it in this term, or its partition is not led here. */
  get(machineId: string): Worker | undefined {
    return this.partitionOfMachine(machineId)?.workers.get(machineId);
  }

  /** Was there contact with the machine's worker in the present term? */
  has(machineId: string): boolean {
    return this.get(machineId) !== undefined;
  }

  /** All workers with whom there was contact, one partition after the other. */
  *values(): Generator<Worker> {
    for (let partition = 0; partition < this.leadership.partitionCount; partition++) yield* this.ofPartition(partition);
  }

  /** The workers of one partition; none if it is not led here. */
  ofPartition(partition: number): Iterable<Worker> {
    return this.partitionAt(partition)?.workers.values() ?? [];
  }

  /** How many workers there are in all partitions led here. */
  get size(): number {
    let size = 0;
    for (let partition = 0; partition < this.leadership.partitionCount; partition++) {
      size += this.partitionAt(partition)?.workers.size ?? 0;
    }
    return size;
  }

  /** Takes in a worker at the first contact. Without a term of its partition's leadership it is not kept. */
  add(worker: Worker): void {
    this.partitionOfMachine(worker.machineId)?.workers.set(worker.machineId, worker);
  }

  /** The machine is terminated, and nothing on it needs a proof any more. */
  remove(machineId: string): void {
    this.partitionOfMachine(machineId)?.workers.delete(machineId);
  }

  /** Forgets a worker that has been silent for long; its last contact still bounds the leases of the unknown ones. */
  forget(machineId: string): void {
    const partition = this.partitionOfMachine(machineId);
    const worker = partition?.workers.get(machineId);
    if (partition === undefined || worker === undefined) return;
    partition.workers.delete(machineId);
    partition.forgottenContactAt = Math.max(partition.forgottenContactAt, lastAnswerableAt(worker));
  }

  /** Steady ms after which the lease of a machine's agent epoch has certainly expired, if nobody answers it again. */
  leaseExpiresAt(machineId: string, held: HeldLeadership): number {
    const partition = this.partitionInTerm(held.term);
    const worker = partition?.workers.get(machineId);
    const known = worker === undefined ? (partition?.forgottenContactAt ?? -Infinity) : lastAnswerableAt(worker);
    // A worker that has shown this token drops what former leaders answer.
    const hasSeenToken = worker !== undefined && worker.fencingToken >= held.fencingToken;
    const last = hasSeenToken ? known : Math.max(known, this.formerLeadersAnsweredUntil(held.term));
    return leaseExpiresAt(last, this.timings.workerLeaseMs);
  }

  /** Steady ms from which on nobody else can have answered a worker that has not shown this node's token yet. */
  private formerLeadersAnsweredUntil(term: LeadershipTerm): number {
    // A former leader's replica can have been complete until its store lease ended, even if only its renewals were lost; and
    // what it was told by this node since then would have shown it the new leadership record.
    return term.at + Math.max(REPLICA_FRESH_MS, degradedServingMs(this.timings));
  }

  private partitionOfMachine(machineId: string): PartitionWorkers | undefined {
    return this.partitionAt(this.leadership.partitionOf(machineId));
  }

  private partitionAt(partition: number): PartitionWorkers | undefined {
    return this.partitionInTerm(this.leadership.termOf(partitionRole(partition)));
  }

  private partitionInTerm(term: LeadershipTerm | undefined): PartitionWorkers | undefined {
    if (term === undefined) return undefined;
    const known = this.partitionsByTerm.get(term);
    if (known !== undefined) return known;
    const partition = { workers: new Map<string, Worker>(), forgottenContactAt: -Infinity };
    this.partitionsByTerm.set(term, partition);
    return partition;
  }
}

/** Steady ms of the receipt of the last status that this node can have answered. */
const lastAnswerableAt = (worker: Worker): number => Math.max(worker.reachability.answeredAt, worker.lastContactAt);

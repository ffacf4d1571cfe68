/**
 * What this process knows of the workers of its partitions, and how far back that knowledge reaches. Both begin together, with
 * the acquisition of a partition's claim, and end together: that nothing is known of a worker proves nothing, unless it is
 * also known since when every answer to it would have been noted here.
 */
import { REPLICA_FRESH_MS } from '../constants/leadership.js';
import type { WorkerTimings } from '../domain/settings.js';
import { leaseOverAt } from '../domain/worker-deadlines.js';
import { Worker } from './worker.js';
import {
  degradedServingMs,
  type HeldLeadership,
  type LeadershipTerm,
  type RoleLeadership,
} from '../leadership/role-leadership.js';
import { partitionRole } from '../domain/role.js';

/** The workers of one partition, for as long as one acquisition of its claim lasts. */
interface PartitionWorkers {
  readonly workers: Map<string, Worker>;
  /** Steady ms of the last sign of life of any worker that has been forgotten since the acquisition. */
  forgottenContactAt: number;
}

/** The workers of all partitions that this process owns, by host. */
export class WorkerRegistry {
  /** Ends with the acquisition itself: no other lifetime could get out of step with the time that proofs count from. */
  private readonly partitionsByTerm = new WeakMap<LeadershipTerm, PartitionWorkers>();

  constructor(
    private readonly leadership: RoleLeadership,
    private readonly timings: WorkerTimings,
  ) {}

  get(machineId: string): Worker | undefined {
    return this.partitionOfMachine(machineId)?.workers.get(machineId);
  }

  has(machineId: string): boolean {
    return this.get(machineId) !== undefined;
  }

  /** All workers heard, of one partition after the other. */
  *values(): Generator<Worker> {
    for (let partition = 0; partition < this.leadership.partitionCount; partition++) yield* this.ofPartition(partition);
  }

  ofPartition(partition: number): Iterable<Worker> {
    return this.partitionAt(partition)?.workers.values() ?? [];
  }

  get size(): number {
    let size = 0;
    for (let partition = 0; partition < this.leadership.partitionCount; partition++) {
      size += this.partitionAt(partition)?.workers.size ?? 0;
    }
    return size;
  }

  /** Takes in a worker that is heard for the first time. Its partition must be owned. */
  add(worker: Worker): void {
    this.partitionOfMachine(worker.machineId)?.workers.set(worker.machineId, worker);
  }

  /** The machine is gone for good, and nothing on it needs a proof any more. */
  remove(machineId: string): void {
    this.partitionOfMachine(machineId)?.workers.delete(machineId);
  }

  /** Forgets a worker that has been silent for long; its last sign of life still bounds the leases of the unknown ones. */
  forget(machineId: string): void {
    const knowledge = this.partitionOfMachine(machineId);
    const worker = knowledge?.workers.get(machineId);
    if (knowledge === undefined || worker === undefined) return;
    knowledge.workers.delete(machineId);
    knowledge.forgottenContactAt = Math.max(knowledge.forgottenContactAt, lastAnswerableAt(worker));
  }

  /** Steady ms after which the lease of a machine's session is certainly over, if nobody answers it again. */
  leaseOverAt(machineId: string, held: HeldLeadership): number {
    const knowledge = this.partitionInTerm(held.term);
    const worker = knowledge?.workers.get(machineId);
    const known = worker === undefined ? (knowledge?.forgottenContactAt ?? -Infinity) : lastAnswerableAt(worker);
    // A worker that has shown this token drops what former owners answer.
    const hasSeenToken = worker !== undefined && worker.fencingToken >= held.fencingToken;
    const last = hasSeenToken ? known : Math.max(known, this.formerLeadersAnsweredUntil(held.term));
    return leaseOverAt(last, this.timings.workerLeaseMs);
  }

  /** Steady ms from which on nobody else can have answered a worker that has not shown this node's token yet. */
  private formerLeadersAnsweredUntil(term: LeadershipTerm): number {
    // A former owner's copy can have been complete until its hold ended, even if only its renewals were lost; and what it was
    // told by this node since then would have shown it the new claim.
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
    const knowledge = { workers: new Map<string, Worker>(), forgottenContactAt: -Infinity };
    this.partitionsByTerm.set(term, knowledge);
    return knowledge;
  }
}

const lastAnswerableAt = (worker: Worker): number => Math.max(worker.reachability.answeredAt, worker.lastContactAt);

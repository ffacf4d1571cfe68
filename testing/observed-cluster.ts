/** What the invariant checker has seen of a scenario: its machines, jobs and running tasks. */
import type { Submission } from './submission-wire-codec.js';

/** A machine, as the cloud and the network show it. */
export interface ObservedMachine {
  machineType: string;
  zone: string;
  isSpot: boolean;
  /** Can be reached and is not suspended. */
  isUsable: boolean;
  /** A task failed there. */
  isFaulty: boolean;
}

/** A job, as its user and the machines have seen it. */
export interface ObservedJob {
  /** Undefined as long as every submission of it was malformed. */
  spec?: Submission;
  /** Times of the first such answer that its user got. */
  acceptedAt?: number;
  doneAt?: number;
  cancelledAt?: number;
  /** When its user first asked to cancel it. */
  cancelAskedAt?: number;
  /** Tasks that are done, by their index. */
  done: Set<number>;
  unansweredSince?: number;
  waitingSince?: number;
}

/** A task on a machine. */
export interface ObservedRun {
  machineId: string;
  taskId: string;
  jobId: string;
}

/** The state that all rules are checked against. */
export class ObservedCluster {
  readonly machines = new Map<string, ObservedMachine>();
  readonly jobs = new Map<string, ObservedJob>();
  readonly runs = new Set<ObservedRun>();

  /** The job, known from now on. */
  job(jobId: string): ObservedJob {
    const known = this.jobs.get(jobId);
    if (known !== undefined) return known;
    const job: ObservedJob = { done: new Set() };
    this.jobs.set(jobId, job);
    return job;
  }

  runsOf(jobId: string): ObservedRun[] {
    return [...this.runs].filter((run) => run.jobId === jobId);
  }

  zoneOf(run: ObservedRun): string | undefined {
    return this.machines.get(run.machineId)?.zone;
  }
}

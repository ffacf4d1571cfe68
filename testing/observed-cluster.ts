/** The invariant checker's view of a scenario: its machines, jobs and running tasks. */
import type { Submission } from './submission-wire-codec.js';

/** A machine as seen from outside. */
export interface ObservedMachine {
  machineType: string;
  zone: string;
  isSpot: boolean;
  /** It can be reached, is not suspended and has no spot notice. */
  isUsable: boolean;
  /** A task has failed on it. */
  isFaulty: boolean;
}

/** A job as its user and the machines have observed it. */
export interface ObservedJob {
  /** Undefined until a well-formed submission of the job has been seen. */
  spec?: Submission;
  /** When its user was first told that it is accepted, done or cancelled. */
  acceptedAt?: number;
  doneAt?: number;
  cancelledAt?: number;
  /** When its user first requested the cancellation. */
  cancelRequestedAt?: number;
  /** Indexes of the tasks that are done. */
  done: Set<number>;
  unansweredSince?: number;
  waitingSince?: number;
}

/** A task that is running on a machine. */
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

  /** The job's state, created on first use. */
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

/**
 * The graph of jobs that wait for others, and the urgency that each job inherits from its dependents. Kept up with every change
 * of a job record: a change propagates only to the dependencies whose urgency it changes.
 */
import { JOB_PRIORITIES } from '../domain/job.js';
import type { JobRecord } from './records.js';

/** What a job inherits from the jobs that depend on it. */
export interface Urgency {
  /** Index in `JOB_PRIORITIES` of the highest priority among them, directly or through others. */
  priorityIndex: number;
  /** Time of day, ms, by which the job must be complete so that the last of them can be in time; Infinity: no deadline. */
  finishBy: number;
}

const MS_PER_S = 1000;
const NO_DEPENDENTS: ReadonlySet<string> = new Set();
const NO_URGENCY: Urgency = { priorityIndex: JOB_PRIORITIES.length, finishBy: Infinity };

/** Time of day, ms. */
const deadlineOf = ({ spec, submittedAtMs }: JobRecord): number =>
  spec.deadlineS === null ? Infinity : submittedAtMs + spec.deadlineS * MS_PER_S;

/** The dependency graph of the live jobs. */
export class JobDependencies {
  /** The waiting jobs, with their records. */
  private readonly waiting = new Map<string, JobRecord>();
  /** The waiting jobs that name a job as their dependency. */
  private readonly dependents = new Map<string, Set<string>>();
  private readonly inherited = new Map<string, Urgency>();

  /** `onChange`: what a job inherits has changed. */
  constructor(private readonly onChange: (jobId: string, urgency: Urgency) => void) {}

  /** All jobs that wait for others. */
  get waitingJobs(): Iterable<string> {
    return this.waiting.keys();
  }

  get waitingCount(): number {
    return this.waiting.size;
  }

  isWaiting(jobId: string): boolean {
    return this.waiting.has(jobId);
  }

  /** The jobs that a waiting job depends on; empty for one that does not wait. */
  dependenciesOf(jobId: string): readonly string[] {
    return this.waiting.get(jobId)?.dependencies ?? [];
  }

  /** The waiting jobs that depend on a job directly. */
  dependentsOf(jobId: string): ReadonlySet<string> {
    return this.dependents.get(jobId) ?? NO_DEPENDENTS;
  }

  hasDependents(jobId: string): boolean {
    return this.dependents.has(jobId);
  }

  urgencyOf(jobId: string): Urgency {
    return this.inherited.get(jobId) ?? NO_URGENCY;
  }

  /** Takes in a job's record; undefined: the job is over. */
  update(jobId: string, record: JobRecord | undefined): void {
    const before = this.dependenciesOf(jobId);
    const isWaiting = record?.state === 'waiting';
    if (!isWaiting && before.length === 0) return;
    for (const dependency of before) this.unlink(dependency, jobId);
    this.waiting.delete(jobId);
    if (isWaiting) {
      this.waiting.set(jobId, record);
      for (const dependency of record.dependencies ?? []) this.link(dependency, jobId);
    }
    this.propagate([...before, ...this.dependenciesOf(jobId)]);
  }

  private link(dependency: string, jobId: string): void {
    const known = this.dependents.get(dependency) ?? new Set();
    this.dependents.set(dependency, known.add(jobId));
  }

  private unlink(dependency: string, jobId: string): void {
    const known = this.dependents.get(dependency);
    known?.delete(jobId);
    if (known?.size === 0) this.dependents.delete(dependency);
  }

  /** Computes anew what these jobs inherit, and then their dependencies in turn, as far as anything changes. */
  private propagate(jobIds: readonly string[]): void {
    const pending = [...jobIds];
    for (let jobId = pending.pop(); jobId !== undefined; jobId = pending.pop()) {
      const old = this.urgencyOf(jobId);
      const now = this.inheritedBy(jobId);
      if (now.priorityIndex === old.priorityIndex && now.finishBy === old.finishBy) continue;
      if (this.hasDependents(jobId)) this.inherited.set(jobId, now);
      else this.inherited.delete(jobId);
      this.onChange(jobId, now);
      pending.push(...this.dependenciesOf(jobId));
    }
  }

  private inheritedBy(jobId: string): Urgency {
    let { priorityIndex, finishBy } = NO_URGENCY;
    for (const dependent of this.dependentsOf(jobId)) {
      const record = this.waiting.get(dependent)!;
      const theirs = this.urgencyOf(dependent);
      priorityIndex = Math.min(priorityIndex, theirs.priorityIndex, JOB_PRIORITIES.indexOf(record.spec.priority));
      const dependentFinishBy = Math.min(theirs.finishBy, deadlineOf(record));
      finishBy = Math.min(finishBy, dependentFinishBy - record.spec.estimatedRunS * MS_PER_S);
    }
    return { priorityIndex, finishBy };
  }
}

/**
 * The dependency graph of waiting jobs, and the urgency that each job inherits from its dependents. Both are updated with every
 * change of a job record; a change propagates only to the dependencies whose urgency it changes.
 */
import { JOB_PRIORITIES } from '../domain/job.js';
import type { JobRecord } from './records.js';

/** The urgency that a job inherits from its dependents, the jobs that depend on it. */
export interface Urgency {
  /** Index in `JOB_PRIORITIES` of the highest priority among direct and indirect dependents. */
  priorityIndex: number;
  /** Wall-clock time, ms, by which the job must be complete for all dependents to meet their deadlines; Infinity: no deadline. */
  finishByMs: number;
}

const MS_PER_S = 1000;
const NO_DEPENDENTS: ReadonlySet<string> = new Set();
const NO_URGENCY: Urgency = { priorityIndex: JOB_PRIORITIES.length, finishByMs: Infinity };

/** The job's own deadline as wall-clock time, ms; Infinity: none. */
const deadlineAtMs = ({ spec, submittedAtMs }: JobRecord): number =>
  spec.deadlineS === null ? Infinity : submittedAtMs + spec.deadlineS * MS_PER_S;

/** The dependency graph of the live jobs. */
export class JobDependencies {
  /** Records of the waiting jobs. */
  private readonly waiting = new Map<string, JobRecord>();
  /** The waiting jobs that depend on a job directly, by the id of that job. */
  private readonly dependents = new Map<string, Set<string>>();
  private readonly inheritedUrgencies = new Map<string, Urgency>();

  /** `onChange`: called when the urgency that a job inherits has changed. */
  constructor(private readonly onChange: (jobId: string, urgency: Urgency) => void) {}

  /** Ids of all jobs that wait for their dependencies. */
  get waitingJobs(): Iterable<string> {
    return this.waiting.keys();
  }

  get waitingCount(): number {
    return this.waiting.size;
  }

  isWaiting(jobId: string): boolean {
    return this.waiting.has(jobId);
  }

  /** The direct dependencies of a waiting job; empty for a job that is not waiting. */
  dependenciesOf(jobId: string): readonly string[] {
    return this.waiting.get(jobId)?.dependencies ?? [];
  }

  /** The waiting jobs that depend on the job directly. */
  dependentsOf(jobId: string): ReadonlySet<string> {
    return this.dependents.get(jobId) ?? NO_DEPENDENTS;
  }

  hasDependents(jobId: string): boolean {
    return this.dependents.has(jobId);
  }

  urgencyOf(jobId: string): Urgency {
    return this.inheritedUrgencies.get(jobId) ?? NO_URGENCY;
  }

  /** Applies a job's record; undefined: the job has ended. */
  update(jobId: string, record: JobRecord | undefined): void {
    const previousDependencies = this.dependenciesOf(jobId);
    const isWaiting = record?.state === 'waiting';
    if (!isWaiting && previousDependencies.length === 0) return;
    for (const dependency of previousDependencies) this.removeDependent(dependency, jobId);
    this.waiting.delete(jobId);
    if (isWaiting) {
      this.waiting.set(jobId, record);
      for (const dependency of record.dependencies ?? []) this.addDependent(dependency, jobId);
    }
    this.propagate([...previousDependencies, ...this.dependenciesOf(jobId)]);
  }

  private addDependent(dependency: string, jobId: string): void {
    const dependents = this.dependents.get(dependency) ?? new Set();
    this.dependents.set(dependency, dependents.add(jobId));
  }

  private removeDependent(dependency: string, jobId: string): void {
    const dependents = this.dependents.get(dependency);
    dependents?.delete(jobId);
    if (dependents?.size === 0) this.dependents.delete(dependency);
  }

  /** Recomputes the urgency of these jobs, then of the dependencies of those whose urgency has changed. */
  private propagate(jobIds: readonly string[]): void {
    const pending = [...jobIds];
    for (let jobId = pending.pop(); jobId !== undefined; jobId = pending.pop()) {
      const previous = this.urgencyOf(jobId);
      const current = this.computeUrgency(jobId);
      if (current.priorityIndex === previous.priorityIndex && current.finishByMs === previous.finishByMs) continue;
      if (this.hasDependents(jobId)) this.inheritedUrgencies.set(jobId, current);
      else this.inheritedUrgencies.delete(jobId);
      this.onChange(jobId, current);
      pending.push(...this.dependenciesOf(jobId));
    }
  }

  private computeUrgency(jobId: string): Urgency {
    let { priorityIndex, finishByMs } = NO_URGENCY;
    for (const dependent of this.dependentsOf(jobId)) {
      const record = this.waiting.get(dependent)!;
      const dependentUrgency = this.urgencyOf(dependent);
      priorityIndex = Math.min(
        priorityIndex,
        dependentUrgency.priorityIndex,
        JOB_PRIORITIES.indexOf(record.spec.priority),
      );
      const dependentFinishByMs = Math.min(dependentUrgency.finishByMs, deadlineAtMs(record));
      finishByMs = Math.min(finishByMs, dependentFinishByMs - record.spec.estimatedRunS * MS_PER_S);
    }
    return { priorityIndex, finishByMs };
  }
}

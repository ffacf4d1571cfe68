/**
 * Which jobs wait for which others, and what each job inherits from those that need it. Kept up with every change of a job
 * record: a change reaches only the jobs before it whose urgency it changes.
 */
import { JOB_PRIORITIES } from '../domain/job.js';
import type { JobRecord } from './records.js';

/** What the jobs that need a job ask of it. */
export interface Urgency {
  /** Index in `RANKS` of the highest rank among them, directly or through others. */
  priorityIndex: number;
  /** Time of day, ms, by which the job must be complete so that the last of them can be in time; Infinity: no deadline. */
  finishBy: number;
}

const NO_URGENCY: Urgency = { priorityIndex: JOB_PRIORITIES.length, finishBy: Infinity };

const deadlineOf = ({ spec, submittedAtMs }: JobRecord): number =>
  spec.deadlineS === null ? Infinity : submittedAtMs + spec.deadlineS * 1000;

export class JobDependencies {
  /** The waiting jobs, with their records. */
  private readonly waiting = new Map<string, JobRecord>();
  /** The waiting jobs that name a job. */
  private readonly successors = new Map<string, Set<string>>();
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

  /** The jobs that a waiting job names. */
  dependenciesOf(jobId: string): readonly string[] {
    return this.waiting.get(jobId)?.dependencies ?? [];
  }

  /** The waiting jobs that name a job. */
  dependentsOf(jobId: string): ReadonlySet<string> {
    return this.successors.get(jobId) ?? NONE;
  }

  hasDependents(jobId: string): boolean {
    return this.successors.has(jobId);
  }

  urgencyOf(jobId: string): Urgency {
    return this.inherited.get(jobId) ?? NO_URGENCY;
  }

  /** Takes in a job's record; undefined: it is gone. */
  update(jobId: string, record: JobRecord | undefined): void {
    const before = this.dependenciesOf(jobId);
    const isWaiting = record?.state === 'waiting';
    if (!isWaiting && before.length === 0) return;
    for (const predecessor of before) this.unlink(predecessor, jobId);
    this.waiting.delete(jobId);
    if (isWaiting) {
      this.waiting.set(jobId, record);
      for (const predecessor of record.dependencies ?? []) this.link(predecessor, jobId);
    }
    this.propagate([...before, ...this.dependenciesOf(jobId)]);
  }

  private link(predecessor: string, jobId: string): void {
    const known = this.successors.get(predecessor) ?? new Set();
    this.successors.set(predecessor, known.add(jobId));
  }

  private unlink(predecessor: string, jobId: string): void {
    const known = this.successors.get(predecessor);
    known?.delete(jobId);
    if (known?.size === 0) this.successors.delete(predecessor);
  }

  /** Works out anew what these jobs inherit, and from there on those before them, as far as anything changes. */
  private propagate(jobIds: readonly string[]): void {
    const open = [...jobIds];
    for (let jobId = open.pop(); jobId !== undefined; jobId = open.pop()) {
      const old = this.urgencyOf(jobId);
      const now = this.inheritedBy(jobId);
      if (now.priorityIndex === old.priorityIndex && now.finishBy === old.finishBy) continue;
      if (this.hasDependents(jobId)) this.inherited.set(jobId, now);
      else this.inherited.delete(jobId);
      this.onChange(jobId, now);
      open.push(...this.dependenciesOf(jobId));
    }
  }

  private inheritedBy(jobId: string): Urgency {
    let { priorityIndex, finishBy } = NO_URGENCY;
    for (const successor of this.dependentsOf(jobId)) {
      const record = this.waiting.get(successor)!;
      const theirs = this.urgencyOf(successor);
      priorityIndex = Math.min(priorityIndex, theirs.priorityIndex, JOB_PRIORITIES.indexOf(record.spec.priority));
      const due = Math.min(theirs.finishBy, deadlineOf(record));
      finishBy = Math.min(finishBy, due - record.spec.estimatedRunS * 1000);
    }
    return { priorityIndex, finishBy };
  }
}

const NONE: ReadonlySet<string> = new Set();

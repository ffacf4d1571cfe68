/**
 * Which jobs wait for which others, and what each job inherits from those that need it. Kept up with every change of a job
 * record: a change reaches only the jobs before it whose urgency it changes.
 */
import { RANKS, type JobRecord } from './records.js';

/** What the jobs that need a job ask of it. */
export interface Urgency {
  /** Index in `RANKS` of the highest rank among them, directly or through others. */
  rank: number;
  /** Time of day, ms, by which the job must be complete so that the last of them can be in time; Infinity: no deadline. */
  finishBy: number;
}

const NO_URGENCY: Urgency = { rank: RANKS.length, finishBy: Infinity };

const deadlineOf = ({ spec, at }: JobRecord): number => (spec.DueS === null ? Infinity : at + spec.DueS * 1000);

export class Pipelines {
  /** The waiting jobs, with their records. */
  private readonly waiting = new Map<string, JobRecord>();
  /** The waiting jobs that name a job. */
  private readonly successors = new Map<string, Set<string>>();
  private readonly inherited = new Map<string, Urgency>();

  /** `onChange`: what a job inherits has changed. */
  constructor(private readonly onChange: (ref: string, urgency: Urgency) => void) {}

  /** All jobs that wait for others. */
  get waitingJobs(): Iterable<string> {
    return this.waiting.keys();
  }

  get waitingCount(): number {
    return this.waiting.size;
  }

  isWaiting(ref: string): boolean {
    return this.waiting.has(ref);
  }

  /** The jobs that a waiting job names. */
  predecessorsOf(ref: string): readonly string[] {
    return this.waiting.get(ref)?.awaits ?? [];
  }

  /** The waiting jobs that name a job. */
  successorsOf(ref: string): ReadonlySet<string> {
    return this.successors.get(ref) ?? NONE;
  }

  hasSuccessors(ref: string): boolean {
    return this.successors.has(ref);
  }

  urgencyOf(ref: string): Urgency {
    return this.inherited.get(ref) ?? NO_URGENCY;
  }

  /** Takes in a job's record; undefined: it is gone. */
  update(ref: string, record: JobRecord | undefined): void {
    const before = this.predecessorsOf(ref);
    const isWaiting = record?.phase === 'waiting';
    if (!isWaiting && before.length === 0) return;
    for (const predecessor of before) this.unlink(predecessor, ref);
    this.waiting.delete(ref);
    if (isWaiting) {
      this.waiting.set(ref, record);
      for (const predecessor of record.awaits ?? []) this.link(predecessor, ref);
    }
    this.propagate([...before, ...this.predecessorsOf(ref)]);
  }

  private link(predecessor: string, ref: string): void {
    const known = this.successors.get(predecessor) ?? new Set();
    this.successors.set(predecessor, known.add(ref));
  }

  private unlink(predecessor: string, ref: string): void {
    const known = this.successors.get(predecessor);
    known?.delete(ref);
    if (known?.size === 0) this.successors.delete(predecessor);
  }

  /** Works out anew what these jobs inherit, and from there on those before them, as far as anything changes. */
  private propagate(refs: readonly string[]): void {
    const open = [...refs];
    for (let ref = open.pop(); ref !== undefined; ref = open.pop()) {
      const old = this.urgencyOf(ref);
      const now = this.inheritedBy(ref);
      if (now.rank === old.rank && now.finishBy === old.finishBy) continue;
      if (this.hasSuccessors(ref)) this.inherited.set(ref, now);
      else this.inherited.delete(ref);
      this.onChange(ref, now);
      open.push(...this.predecessorsOf(ref));
    }
  }

  private inheritedBy(ref: string): Urgency {
    let { rank, finishBy } = NO_URGENCY;
    for (const successor of this.successorsOf(ref)) {
      const record = this.waiting.get(successor)!;
      const theirs = this.urgencyOf(successor);
      rank = Math.min(rank, theirs.rank, RANKS.indexOf(record.spec.Rank));
      const due = Math.min(theirs.finishBy, deadlineOf(record));
      finishBy = Math.min(finishBy, due - record.spec.GuessS * 1000);
    }
    return { rank, finishBy };
  }
}

const NONE: ReadonlySet<string> = new Set();

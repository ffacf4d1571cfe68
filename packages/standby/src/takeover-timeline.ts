/** The steps of a takeover and their times, as seen by the new leader. */

/** The steps of a takeover in their usual order. */
export type TakeoverStep = 'vacant' | 'acquired' | 'records_complete' | 'worker_answered' | 'decided';

/** What is known about the term that ended before the takeover. */
export interface FormerTerm {
  /** The node that led the role before. */
  readonly formerLeader: string;
  /** Fencing token of the former leader; together with the role it identifies the takeover on both nodes. */
  readonly formerFencingToken: number | bigint;
  /** Monotonic ms when the former leader was last heard from. */
  readonly lastSeenAt: number;
}

/** A finished takeover: the first decision was made, or none was made within 30 s. */
export interface TakeoverReport extends FormerTerm {
  readonly role: string;
  /** Monotonic ms of each step that was reached. */
  readonly steps: ReadonlyMap<TakeoverStep, number>;
}

/** ms from when the former leader was last heard from to each step. */
export function stepDurations({ steps, lastSeenAt }: TakeoverReport): Partial<Record<TakeoverStep, number>> {
  const entries = [...steps].map(([step, at]) => [step, Math.round(at - lastSeenAt)] as const);
  return Object.fromEntries(entries);
}

interface TakeoverInProgress extends FormerTerm {
  readonly steps: Map<TakeoverStep, number>;
}

/** ms after which a takeover counts as finished even without a decision. */
const TAKEOVER_TIMEOUT_MS = 30_000;

/** Tracks takeovers in progress, at most one per role, and reports each one once when it is finished. */
export class TakeoverTimeline {
  private readonly inProgress = new Map<string, TakeoverInProgress>();

  constructor(
    /** Monotonic ms. */
    private readonly now: () => number,
    private readonly report: (report: TakeoverReport) => void,
  ) {}

  /** Called when a role that another node led has become vacant. */
  startTakeover(role: string, former: FormerTerm): void {
    const steps = new Map<TakeoverStep, number>([['vacant', this.now()]]);
    this.inProgress.set(role, { ...former, steps });
  }

  /** Called when another node has acquired the role. */
  acquiredElsewhere(role: string): void {
    this.inProgress.delete(role);
  }

  /** Records when a step first occurs; steps before the acquisition do not belong to the takeover and are ignored. */
  recordStep(role: string, step: Exclude<TakeoverStep, 'vacant'>): void {
    const takeover = this.inProgress.get(role);
    if (takeover === undefined || takeover.steps.has(step)) return;
    if (step !== 'acquired' && !takeover.steps.has('acquired')) return;
    takeover.steps.set(step, this.now());
    if (step === 'decided') this.finish(role, takeover);
  }

  /** Finishes takeovers that have timed out; roles that were never acquired here are not reported. */
  expire(): void {
    for (const [role, takeover] of this.inProgress) {
      if (this.now() - takeover.steps.get('vacant')! > TAKEOVER_TIMEOUT_MS) this.finish(role, takeover);
    }
  }

  private finish(role: string, takeover: TakeoverInProgress): void {
    this.inProgress.delete(role);
    if (takeover.steps.has('acquired')) this.report({ role, ...takeover });
  }
}

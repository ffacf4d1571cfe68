/** The steps of a takeover and when each came, as the new leader sees them. */

/** The steps in their usual order. */
export type TakeoverStep = 'vacant' | 'acquired' | 'records_complete' | 'worker_answered' | 'decided';

/** What is known of the term that a takeover follows. */
export interface FormerTerm {
  /** The node that led the role before. */
  readonly formerLeader: string;
  /** Fencing token of the former leader: with the role it identifies the takeover at both nodes. */
  readonly formerFencingToken: number;
  /** Steady ms when the former leader was last heard from. */
  readonly lastSeenAt: number;
}

/** A finished takeover: its first decision has been made, or none was needed within 30 s. */
export interface TakeoverReport extends FormerTerm {
  readonly role: string;
  /** Steady ms of each step that was reached. */
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

/** ms after which a takeover counts as finished although nothing had to be decided. */
const TAKEOVER_TIMEOUT_MS = 30_000;

/** Follows takeovers in progress, one a role at most, and reports each once when it is finished. */
export class TakeoverTimeline {
  private readonly inProgress = new Map<string, TakeoverInProgress>();

  constructor(
    /** Steady ms. */
    private readonly now: () => number,
    private readonly report: (report: TakeoverReport) => void,
  ) {}

  /** A role that another node led has become vacant. */
  startTakeover(role: string, former: FormerTerm): void {
    const steps = new Map<TakeoverStep, number>([['vacant', this.now()]]);
    this.inProgress.set(role, { ...former, steps });
  }

  /** Another node has acquired the role. */
  acquiredElsewhere(role: string): void {
    this.inProgress.delete(role);
  }

  /** Records the first time of a step; steps before the acquisition are none of the takeover's. */
  recordStep(role: string, step: Exclude<TakeoverStep, 'vacant'>): void {
    const takeover = this.inProgress.get(role);
    if (takeover === undefined || takeover.steps.has(step)) return;
    if (step !== 'acquired' && !takeover.steps.has('acquired')) return;
    takeover.steps.set(step, this.now());
    if (step === 'decided') this.finish(role, takeover);
  }

  /** Reports takeovers that time out; a role that was never acquired here is no takeover. */
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

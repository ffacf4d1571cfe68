/** What a takeover took, step by step, as the new holder sees it. */

export const TAKEOVER_STEPS = ['vacant', 'acquired', 'records_complete', 'worker_answered', 'decided'] as const;
export type TakeoverStep = (typeof TAKEOVER_STEPS)[number];

/** A takeover that is over: its first decision has been made, or none was needed for a while. */
export interface TakeoverReport {
  readonly role: string;
  /** The node that held the role before. */
  readonly formerLeader: string;
  /** Revision of the former claim: with the role it names the takeover at both nodes. */
  readonly formerFencingToken: number;
  /** Steady ms when the former holder was last heard. */
  readonly lastSeenAt: number;
  /** Steady ms of each step that came about. */
  readonly steps: ReadonlyMap<TakeoverStep, number>;
}

/** ms from the last word of the former holder to each step. */
export function stepDurations({ steps, lastSeenAt }: TakeoverReport): Partial<Record<TakeoverStep, number>> {
  const entries = [...steps].map(([step, at]) => [step, Math.round(at - lastSeenAt)] as const);
  return Object.fromEntries(entries);
}

interface TakeoverInProgress {
  readonly formerLeader: string;
  readonly formerFencingToken: number;
  readonly lastSeenAt: number;
  readonly steps: Map<TakeoverStep, number>;
}

/** ms after which a takeover counts as over although nothing had to be decided. */
const TAKEOVER_TIMEOUT_MS = 30_000;

export class TakeoverTimeline {
  private readonly inProgress = new Map<string, TakeoverInProgress>();

  constructor(
    /** Steady ms. */
    private readonly now: () => number,
    private readonly report: (report: TakeoverReport) => void,
  ) {}

  /** The claim of a role that somebody else held is gone. */
  startTakeover(role: string, formerLeader: string, formerFencingToken: number, lastSeenAt: number): void {
    const steps = new Map<TakeoverStep, number>([['vacant', this.now()]]);
    this.inProgress.set(role, { formerLeader, formerFencingToken, lastSeenAt, steps });
  }

  /** Somebody else has taken the role. */
  acquiredElsewhere(role: string): void {
    this.inProgress.delete(role);
  }

  recordStep(role: string, step: Exclude<TakeoverStep, 'vacant'>): void {
    const takeover = this.inProgress.get(role);
    if (takeover === undefined || takeover.steps.has(step)) return;
    if (step !== 'acquired' && !takeover.steps.has('acquired')) return;
    takeover.steps.set(step, this.now());
    if (step === 'decided') this.finish(role, takeover);
  }

  /** Reports what has been under way for long; what was never claimed here is no takeover. */
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

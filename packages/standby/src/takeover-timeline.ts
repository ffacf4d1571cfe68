/** What a takeover took, step by step, as the new holder sees it. */

export const TAKEOVER_STEPS = ['vacant', 'claimed', 'records_complete', 'worker_answered', 'decided'] as const;
export type TakeoverStep = (typeof TAKEOVER_STEPS)[number];

/** A takeover that is over: its first decision has been made, or none was needed for a while. */
export interface TakeoverReport {
  readonly role: string;
  /** The node that held the role before. */
  readonly former: string;
  /** Revision of the former claim: with the role it names the takeover at both nodes. */
  readonly formerFencingToken: number;
  /** Steady ms when the former holder was last heard. */
  readonly lastHeardAt: number;
  /** Steady ms of each step that came about. */
  readonly steps: ReadonlyMap<TakeoverStep, number>;
}

/** ms from the last word of the former holder to each step. */
export function stepDurations({ steps, lastHeardAt }: TakeoverReport): Partial<Record<TakeoverStep, number>> {
  const entries = [...steps].map(([step, at]) => [step, Math.round(at - lastHeardAt)] as const);
  return Object.fromEntries(entries);
}

interface Underway {
  readonly former: string;
  readonly formerFencingToken: number;
  readonly lastHeardAt: number;
  readonly steps: Map<TakeoverStep, number>;
}

/** ms after which a takeover counts as over although nothing had to be decided. */
const LONGEST_MS = 30_000;

export class TakeoverTimeline {
  private readonly underway = new Map<string, Underway>();

  constructor(
    /** Steady ms. */
    private readonly now: () => number,
    private readonly report: (report: TakeoverReport) => void,
  ) {}

  /** The claim of a role that somebody else held is gone. */
  vacant(role: string, former: string, formerFencingToken: number, lastHeardAt: number): void {
    const steps = new Map<TakeoverStep, number>([['vacant', this.now()]]);
    this.underway.set(role, { former, formerFencingToken, lastHeardAt, steps });
  }

  /** Somebody else has taken the role. */
  taken(role: string): void {
    this.underway.delete(role);
  }

  note(role: string, step: Exclude<TakeoverStep, 'vacant'>): void {
    const takeover = this.underway.get(role);
    if (takeover === undefined || takeover.steps.has(step)) return;
    if (step !== 'claimed' && !takeover.steps.has('claimed')) return;
    takeover.steps.set(step, this.now());
    if (step === 'decided') this.finish(role, takeover);
  }

  /** Reports what has been under way for long; what was never claimed here is no takeover. */
  sweep(): void {
    for (const [role, takeover] of this.underway) {
      if (this.now() - takeover.steps.get('vacant')! > LONGEST_MS) this.finish(role, takeover);
    }
  }

  private finish(role: string, takeover: Underway): void {
    this.underway.delete(role);
    if (takeover.steps.has('claimed')) this.report({ role, ...takeover });
  }
}

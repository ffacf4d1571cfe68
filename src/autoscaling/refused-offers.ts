/** Offers that the cloud has refused for lack of capacity: they are not asked for again for a while. */
import { NO_CAPACITY_MS } from '../constants/autoscaling.js';
import type { Clock } from '../net/clock.js';

/** A machine type in a zone, on demand or spot. */
export interface OfferId {
  machineType: string;
  zone: string;
  isSpot: boolean;
}

/** The form in which leaders tell each other of an offer. */
const offerName = ({ machineType, zone, isSpot }: OfferId): string => `${machineType} ${zone} ${isSpot}`;

/** Remembers refusals by offer; the memory passes to the next leader. */
export class RefusedOffers {
  /** Steady ms, by the offer's name. */
  private readonly refusedUntilMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** The cloud has just refused the offer, or granted less than was asked for. */
  add(offer: OfferId): void {
    this.refusedUntilMs.set(offerName(offer), this.clock.now() + NO_CAPACITY_MS);
  }

  has(offer: OfferId): boolean {
    return (this.refusedUntilMs.get(offerName(offer)) ?? -Infinity) > this.clock.now();
  }

  /** The refusals that still count, with the steady ms of each. */
  *recent(): Iterable<{ offer: string; at: number }> {
    for (const [offer, untilMs] of this.refusedUntilMs)
      if (untilMs > this.clock.now()) yield { offer, at: untilMs - NO_CAPACITY_MS };
  }

  /** Takes over a refusal that a former leader met; a later one that is known here stands. */
  restore(offer: string, atMs: number): void {
    const untilMs = Math.min(atMs, this.clock.now()) + NO_CAPACITY_MS;
    this.refusedUntilMs.set(offer, Math.max(untilMs, this.refusedUntilMs.get(offer) ?? -Infinity));
  }
}

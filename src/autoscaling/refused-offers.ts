/** Offers that the cloud has refused, for lack of capacity or as invalid; they are not requested again for a while. */
import { NO_CAPACITY_BACKOFF_MS } from '../constants/autoscaling.js';
import { escapeSpaces } from '../domain/escape-spaces.js';
import type { Clock } from '../net/clock.js';

/** A machine type in a zone, on demand or spot. */
export interface OfferId {
  machineType: string;
  zone: string;
  isSpot: boolean;
}

/** Identifies an offer here and in the advisory state that leaders exchange. */
const offerKey = ({ machineType, zone, isSpot }: OfferId): string =>
  `${escapeSpaces(machineType)} ${escapeSpaces(zone)} ${isSpot}`;

/** Tracks refusals by offer; the next leader takes over this state. */
export class RefusedOffers {
  /** Monotonic ms until which an offer is not requested again, by offer key. */
  private readonly refusedUntilMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Records that the cloud has just refused the offer, or granted fewer machines than requested. */
  add(offer: OfferId): void {
    this.refusedUntilMs.set(offerKey(offer), this.clock.now() + NO_CAPACITY_BACKOFF_MS);
  }

  has(offer: OfferId): boolean {
    return (this.refusedUntilMs.get(offerKey(offer)) ?? -Infinity) > this.clock.now();
  }

  /** The refusals that still count; `at`: time of the refusal, monotonic ms. */
  *recent(): Iterable<{ offer: string; at: number }> {
    for (const [offer, untilMs] of this.refusedUntilMs)
      if (untilMs > this.clock.now()) yield { offer, at: untilMs - NO_CAPACITY_BACKOFF_MS };
  }

  /** Takes over a refusal from a former leader; a later refusal known here is kept. */
  restore(offer: string, atMs: number): void {
    const untilMs = Math.min(atMs, this.clock.now()) + NO_CAPACITY_BACKOFF_MS;
    this.refusedUntilMs.set(offer, Math.max(untilMs, this.refusedUntilMs.get(offer) ?? -Infinity));
  }
}

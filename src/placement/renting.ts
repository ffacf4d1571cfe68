import { BOOT_PATIENCE, RESERVE_SHARE } from '../constants.js';
import type { Flavor } from '../controller/fleet.js';
import type { JobSpec } from '../ledger/records.js';
import { allowedOn, fits, takeRoom, type Room } from '../ledger/rules.js';

/** Tasks of one kind that have no place. */
export interface Need {
  spec: JobSpec;
  tasks: number;
  /** Zones that could take the tasks; empty: any. */
  sites: string[];
}

export interface Offer {
  flavor: Flavor;
  site: string;
  reclaimable: boolean;
}

export interface Wanted extends Offer {
  count: number;
}

export const roomOfFlavor = (flavor: Flavor): Room => ({
  cpus: flavor.cpus,
  cards: flavor.cards,
  memGb: flavor.memGb,
});

/** How many tasks of a job have room together. */
export const tasksIn = (room: Room, spec: JobSpec): number => {
  if (!fits(spec, room)) return 0;
  let count = room.cpus / spec.Cpus;
  if (spec.MemGb > 0) count = Math.min(count, room.memGb / spec.MemGb);
  if (spec.Cards > 0) count = Math.min(count, room.cards / spec.Cards);
  return Math.floor(count + 1e-6);
};

export const perMachine = (flavor: Flavor, spec: JobSpec): number => tasksIn(roomOfFlavor(flavor), spec);

/** ms after which a machine that was rented and never heard counts as one that will not come up. */
export const bootLimitMs = (flavor: Flavor | undefined): number => (flavor?.bootS ?? 60) * 1000 * BOOT_PATIENCE;

/** Price of one task's room on such a machine. */
const priceOf = (offer: Offer, spec: JobSpec): number =>
  (offer.reclaimable ? offer.flavor.lowPrice : offer.flavor.hourly) / perMachine(offer.flavor, spec);

/**
 * What to rent for needs that have no place, after what `coming` machines will hold. Offers refused of late are left
 * out by the caller, so that another zone or type is tried.
 */
export function decideRentals(
  needs: readonly Need[],
  offers: readonly Offer[],
  coming: readonly Offer[],
  most: number,
) {
  const wanted: Wanted[] = [];
  const rooms = coming.map((offer) => ({ offer, room: roomOfFlavor(offer.flavor) }));
  let left = most;
  for (const { spec, tasks, sites } of needs) {
    const suits = (offer: Offer) =>
      allowedOn(spec, { flavor: offer.flavor.sku, site: offer.site, reclaimable: offer.reclaimable }) &&
      (sites.length === 0 || sites.includes(offer.site)) &&
      perMachine(offer.flavor, spec) > 0;
    let open = tasks;
    for (const { offer, room } of rooms) {
      while (open > 0 && suits(offer) && fits(spec, room)) {
        takeRoom(room, spec);
        open--;
      }
    }
    const ranked = offers.filter(suits).sort((a, b) => priceOf(a, spec) - priceOf(b, spec));
    while (open > 0 && left > 0 && ranked.length > 0) {
      // Ties between zones go to the one that has got the fewest, so that a zone's loss costs less.
      const cheapest = priceOf(ranked[0]!, spec);
      const equals = ranked.filter((offer) => priceOf(offer, spec) <= cheapest * 1.001);
      const offer = equals.reduce((a, b) => (countOf(wanted, b) < countOf(wanted, a) ? b : a));
      const known = wanted.find((each) => same(each, offer));
      if (known !== undefined) known.count++;
      else wanted.push({ ...offer, count: 1 });
      left--;
      const room = roomOfFlavor(offer.flavor);
      while (open > 0 && fits(spec, room)) {
        takeRoom(room, spec);
        open--;
      }
      rooms.push({ offer, room });
    }
  }
  return wanted;
}

export const same = (a: Offer, b: Offer): boolean =>
  a.flavor.sku === b.flavor.sku && a.site === b.site && a.reclaimable === b.reclaimable;

const countOf = (wanted: readonly Wanted[], offer: Offer): number =>
  wanted.find((each) => same(each, offer))?.count ?? 0;

/** Is the free room of a type below the reserve that bursts want? */
export const belowReserve = (freeCpus: number, totalCpus: number): boolean =>
  totalCpus > 0 && freeCpus < totalCpus * RESERVE_SHARE;

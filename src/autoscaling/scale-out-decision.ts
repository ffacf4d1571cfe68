import { BOOT_PATIENCE, RESERVE_SHARE } from '../constants/autoscaling.js';
import { resourcesOfMachineType, tasksPerMachine, MachineType } from '../domain/machine-type.js';
import type { JobSpec } from '../domain/job.js';
import { fits, subtractResources } from '../domain/resources.js';
import { isAllowedOn } from '../records/placement-rules.js';

/** Tasks of one kind that have no place. */
export interface CapacityNeed {
  spec: JobSpec;
  tasks: number;
  /** Zones that could take the tasks; empty: any. */
  zones: string[];
}

export interface MachineOffer {
  machineType: MachineType;
  zone: string;
  isSpot: boolean;
}

export interface WantedMachines extends MachineOffer {
  count: number;
}

/** ms after which a machine that was rented and never heard counts as one that will not come up. */
export const bootLimitMs = (machineType: MachineType | undefined): number =>
  (machineType?.bootS ?? 60) * 1000 * BOOT_PATIENCE;

/** Price of one task's room on such a machine. */
const priceOf = (offer: MachineOffer, spec: JobSpec): number =>
  (offer.isSpot ? offer.machineType.spotHourlyPrice : offer.machineType.hourlyPrice) /
  tasksPerMachine(offer.machineType, spec);

/**
 * What to rent for needs that have no place, after what `coming` machines will hold. Offers refused of late are left
 * out by the caller, so that another zone or type is tried.
 */
export function decideScaleOut(
  needs: readonly CapacityNeed[],
  offers: readonly MachineOffer[],
  coming: readonly MachineOffer[],
  most: number,
) {
  const wanted: WantedMachines[] = [];
  const rooms = coming.map((offer) => ({ offer, room: resourcesOfMachineType(offer.machineType) }));
  let left = most;
  for (const { spec, tasks, zones } of needs) {
    const suits = (offer: MachineOffer) =>
      isAllowedOn(spec, { machineType: offer.machineType.name, zone: offer.zone, isSpot: offer.isSpot }) &&
      (zones.length === 0 || zones.includes(offer.zone)) &&
      tasksPerMachine(offer.machineType, spec) > 0;
    let open = tasks;
    for (const { offer, room } of rooms) {
      while (open > 0 && suits(offer) && fits(spec, room)) {
        subtractResources(room, spec);
        open--;
      }
    }
    const ranked = offers.filter(suits).sort((a, b) => priceOf(a, spec) - priceOf(b, spec));
    while (open > 0 && left > 0 && ranked.length > 0) {
      // Ties between zones go to the one that has got the fewest, so that a zone's loss costs less.
      const cheapest = priceOf(ranked[0]!, spec);
      const equals = ranked.filter((offer) => priceOf(offer, spec) <= cheapest * 1.001);
      const offer = equals.reduce((a, b) => (countOf(wanted, b) < countOf(wanted, a) ? b : a));
      const known = wanted.find((each) => isSameOffer(each, offer));
      if (known !== undefined) known.count++;
      else wanted.push({ ...offer, count: 1 });
      left--;
      const room = resourcesOfMachineType(offer.machineType);
      while (open > 0 && fits(spec, room)) {
        subtractResources(room, spec);
        open--;
      }
      rooms.push({ offer, room });
    }
  }
  return wanted;
}

export const isSameOffer = (a: MachineOffer, b: MachineOffer): boolean =>
  a.machineType.name === b.machineType.name && a.zone === b.zone && a.isSpot === b.isSpot;

const countOf = (wanted: readonly WantedMachines[], offer: MachineOffer): number =>
  wanted.find((each) => isSameOffer(each, offer))?.count ?? 0;

/** Is the free room of a type below the reserve that bursts want? */
export const isBelowReserve = (freeCpus: number, totalCpus: number): boolean =>
  totalCpus > 0 && freeCpus < totalCpus * RESERVE_SHARE;

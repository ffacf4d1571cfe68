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
const pricePerTask = (offer: MachineOffer, spec: JobSpec): number =>
  (offer.isSpot ? offer.machineType.spotHourlyPrice : offer.machineType.hourlyPrice) /
  tasksPerMachine(offer.machineType, spec);

/**
 * What to rent for needs that have no place, after what `booting` machines will hold. Offers refused of late are left
 * out by the caller, so that another zone or type is tried.
 */
export function decideScaleOut(
  needs: readonly CapacityNeed[],
  offers: readonly MachineOffer[],
  booting: readonly MachineOffer[],
  maxMachines: number,
) {
  const wanted: WantedMachines[] = [];
  const freeMachines = booting.map((offer) => ({ offer, free: resourcesOfMachineType(offer.machineType) }));
  let remainingMachines = maxMachines;
  for (const { spec, tasks, zones } of needs) {
    const isSuitable = (offer: MachineOffer) =>
      isAllowedOn(spec, { machineType: offer.machineType.name, zone: offer.zone, isSpot: offer.isSpot }) &&
      (zones.length === 0 || zones.includes(offer.zone)) &&
      tasksPerMachine(offer.machineType, spec) > 0;
    let unplacedTasks = tasks;
    for (const { offer, free } of freeMachines) {
      while (unplacedTasks > 0 && isSuitable(offer) && fits(spec, free)) {
        subtractResources(free, spec);
        unplacedTasks--;
      }
    }
    const ranked = offers.filter(isSuitable).sort((a, b) => pricePerTask(a, spec) - pricePerTask(b, spec));
    while (unplacedTasks > 0 && remainingMachines > 0 && ranked.length > 0) {
      // Ties between zones go to the one that has got the fewest, so that a zone's loss costs less.
      const cheapest = pricePerTask(ranked[0]!, spec);
      const equallyCheap = ranked.filter((offer) => pricePerTask(offer, spec) <= cheapest * 1.001);
      const offer = equallyCheap.reduce((a, b) => (countOf(wanted, b) < countOf(wanted, a) ? b : a));
      const existing = wanted.find((each) => isSameOffer(each, offer));
      if (existing !== undefined) existing.count++;
      else wanted.push({ ...offer, count: 1 });
      remainingMachines--;
      const free = resourcesOfMachineType(offer.machineType);
      while (unplacedTasks > 0 && fits(spec, free)) {
        subtractResources(free, spec);
        unplacedTasks--;
      }
      freeMachines.push({ offer, free });
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

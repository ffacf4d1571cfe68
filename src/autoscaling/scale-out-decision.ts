/** Decides which machines to add for tasks without a placement. */
import { BOOT_PATIENCE, RESERVE_SHARE } from '../constants/autoscaling.js';
import type { JobSpec } from '../domain/job.js';
import { type MachineType, resourcesOfMachineType, tasksPerMachine } from '../domain/machine-type.js';
import { fits, type Resources, subtractResources } from '../domain/resources.js';
import { isAllowedOn } from '../records/placement-rules.js';

/** Tasks of one job without a placement. */
export interface CapacityNeed {
  spec: JobSpec;
  taskCount: number;
  /** Zones that could take the tasks; empty: any. */
  zones: string[];
}

/** A kind of machine that the cloud may be asked for. */
export interface MachineOffer {
  machineType: MachineType;
  zone: string;
  isSpot: boolean;
}

/** An offer, and how many of it to ask for. */
export interface WantedMachines extends MachineOffer {
  count: number;
}

/** A machine that is booting or wanted, with what earlier needs have left of it. */
interface PlannedMachine {
  offer: MachineOffer;
  free: Resources;
}

/** Prices that differ by less, relatively, count as equal. */
const EQUAL_PRICE_FACTOR = 1.001;

const DEFAULT_BOOT_S = 60;

/** ms after which a machine that was asked for and never heard counts as one that will not come up. */
export const bootLimitMs = (machineType: MachineType | undefined): number =>
  (machineType?.bootS ?? DEFAULT_BOOT_S) * 1000 * BOOT_PATIENCE;

/** Are the free CPUs of a class of machines below the reserve that bursts need? */
export const isBelowReserve = (freeCpus: number, totalCpus: number): boolean =>
  totalCpus > 0 && freeCpus < totalCpus * RESERVE_SHARE;

/**
 * What to ask for, `maxMachines` at most, after what `booting` machines will hold. Needs are served in their order. Offers
 * that were refused recently are left out by the caller, so that another zone or type is tried.
 */
export function decideScaleOut(
  needs: readonly CapacityNeed[],
  offers: readonly MachineOffer[],
  booting: readonly MachineOffer[],
  maxMachines: number,
): WantedMachines[] {
  const plan = new ScaleOutPlan(offers, booting, maxMachines);
  for (const need of needs) plan.serve(need);
  return plan.wanted;
}

/** The state of one decision. */
class ScaleOutPlan {
  readonly wanted: WantedMachines[] = [];
  private readonly planned: PlannedMachine[];

  constructor(
    private readonly offers: readonly MachineOffer[],
    booting: readonly MachineOffer[],
    private remainingMachines: number,
  ) {
    this.planned = booting.map(planMachine);
  }

  serve(need: CapacityNeed): void {
    const unplacedTasks = this.usePlannedMachines(need);
    if (unplacedTasks > 0) this.addMachines(need, unplacedTasks);
  }

  /** Returns how many tasks the machines planned so far don't hold. */
  private usePlannedMachines(need: CapacityNeed): number {
    let unplacedTasks = need.taskCount;
    for (const { offer, free } of this.planned) {
      if (unplacedTasks === 0) break;
      if (isSuitable(offer, need)) unplacedTasks = pack(need.spec, free, unplacedTasks);
    }
    return unplacedTasks;
  }

  private addMachines(need: CapacityNeed, taskCount: number): void {
    const cheapest = cheapestOffers(this.offers, need);
    if (cheapest.length === 0) return;
    let unplacedTasks = taskCount;
    while (unplacedTasks > 0 && this.remainingMachines > 0) {
      // Ties between zones go to the one that has got the fewest, so that a zone's loss costs less.
      const offer = cheapest.reduce((a, b) => (this.countOf(b) < this.countOf(a) ? b : a));
      const machine = planMachine(offer);
      this.want(offer);
      unplacedTasks = pack(need.spec, machine.free, unplacedTasks);
      this.planned.push(machine);
    }
  }

  private want(offer: MachineOffer): void {
    const existing = this.wanted.find((each) => isSameOffer(each, offer));
    if (existing === undefined) this.wanted.push({ ...offer, count: 1 });
    else existing.count++;
    this.remainingMachines--;
  }

  private countOf(offer: MachineOffer): number {
    return this.wanted.find((each) => isSameOffer(each, offer))?.count ?? 0;
  }
}

const planMachine = (offer: MachineOffer): PlannedMachine => ({
  offer,
  free: resourcesOfMachineType(offer.machineType),
});

/** Takes as many of the tasks off the free resources as fit; returns how many remain. */
function pack(spec: JobSpec, free: Resources, taskCount: number): number {
  let remainingTasks = taskCount;
  while (remainingTasks > 0 && fits(spec, free)) {
    subtractResources(free, spec);
    remainingTasks--;
  }
  return remainingTasks;
}

const isSuitable = (offer: MachineOffer, { spec, zones }: CapacityNeed): boolean =>
  isAllowedOn(spec, { machineType: offer.machineType.name, zone: offer.zone, isSpot: offer.isSpot }) &&
  (zones.length === 0 || zones.includes(offer.zone)) &&
  tasksPerMachine(offer.machineType, spec) > 0;

/** The suitable offers with the lowest price for each task, cheapest first. */
function cheapestOffers(offers: readonly MachineOffer[], need: CapacityNeed): MachineOffer[] {
  const { spec } = need;
  const ranked = offers
    .filter((offer) => isSuitable(offer, need))
    .sort((a, b) => pricePerTask(a, spec) - pricePerTask(b, spec));
  if (ranked.length === 0) return [];
  const limit = pricePerTask(ranked[0]!, spec) * EQUAL_PRICE_FACTOR;
  return ranked.filter((offer) => pricePerTask(offer, spec) <= limit);
}

/** Hourly price of one task's share of such a machine. */
const pricePerTask = ({ machineType, isSpot }: MachineOffer, spec: JobSpec): number =>
  (isSpot ? machineType.spotHourlyPrice : machineType.hourlyPrice) / tasksPerMachine(machineType, spec);

const isSameOffer = (a: MachineOffer, b: MachineOffer): boolean =>
  a.machineType.name === b.machineType.name && a.zone === b.zone && a.isSpot === b.isSpot;

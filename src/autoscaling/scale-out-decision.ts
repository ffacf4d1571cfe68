/** Decides which machines to add for pending tasks. */
import { BOOT_TIMEOUT_FACTOR, RESERVE_SHARE } from '../constants/autoscaling.js';
import type { JobSpec } from '../domain/job.js';
import { type MachineType, resourcesOfMachineType, tasksPerMachine } from '../domain/machine-type.js';
import { fits, type Resources, subtractResources } from '../domain/resources.js';
import { isAllowedOn } from '../records/placement-rules.js';

/** The pending tasks of one job. */
export interface CapacityNeed {
  spec: JobSpec;
  taskCount: number;
  /** Zones that the tasks may be placed in; empty: any. */
  zones: string[];
}

/** A kind of machine that can be requested from the cloud. */
export interface MachineOffer {
  machineType: MachineType;
  zone: string;
  isSpot: boolean;
}

/** An offer with the number of machines to request. */
export interface WantedMachines extends MachineOffer {
  count: number;
}

/** A machine that is booting or to be requested, with the resources that earlier needs have left free. */
interface PlannedMachine {
  offer: MachineOffer;
  free: Resources;
}

/** Prices up to this multiple of the lowest count as equal to it. */
const EQUAL_PRICE_FACTOR = 1.001;

const DEFAULT_BOOT_S = 60;

/** ms after its request at which a machine without a heartbeat counts as failed to boot. */
export const bootTimeoutMs = (machineType: MachineType | undefined): number =>
  (machineType?.bootS ?? DEFAULT_BOOT_S) * 1000 * BOOT_TIMEOUT_FACTOR;

/** Whether the free CPUs of a group of machines are below the reserve for bursts. */
export const isBelowReserve = (freeCpus: number, totalCpus: number): boolean =>
  totalCpus > 0 && freeCpus < totalCpus * RESERVE_SHARE;

/**
 * Decides what to request, `maxMachines` at most, for the tasks that don't fit on the `booting` machines. Needs are
 * served in the given order. The caller leaves out recently refused offers, so that another zone or type is tried.
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

/** The working state of one scale-out decision. */
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

  /** Assigns tasks to the machines planned so far; returns how many don't fit. */
  private usePlannedMachines(need: CapacityNeed): number {
    let unplacedTasks = need.taskCount;
    for (const { offer, free } of this.planned) {
      if (unplacedTasks === 0) break;
      if (isSuitable(offer, need)) unplacedTasks = packTasks(need.spec, free, unplacedTasks);
    }
    return unplacedTasks;
  }

  private addMachines(need: CapacityNeed, taskCount: number): void {
    const cheapest = cheapestOffers(this.offers, need);
    if (cheapest.length === 0) return;
    let unplacedTasks = taskCount;
    while (unplacedTasks > 0 && this.remainingMachines > 0) {
      // Of equally cheap offers, the one with the fewest machines so far is taken, so that the loss of a zone affects fewer.
      const offer = cheapest.reduce((a, b) => (this.wantedCountOf(b) < this.wantedCountOf(a) ? b : a));
      const machine = planMachine(offer);
      this.addWanted(offer);
      unplacedTasks = packTasks(need.spec, machine.free, unplacedTasks);
      this.planned.push(machine);
    }
  }

  private addWanted(offer: MachineOffer): void {
    const existing = this.wanted.find((each) => isSameOffer(each, offer));
    if (existing === undefined) this.wanted.push({ ...offer, count: 1 });
    else existing.count++;
    this.remainingMachines--;
  }

  private wantedCountOf(offer: MachineOffer): number {
    return this.wanted.find((each) => isSameOffer(each, offer))?.count ?? 0;
  }
}

const planMachine = (offer: MachineOffer): PlannedMachine => ({
  offer,
  free: resourcesOfMachineType(offer.machineType),
});

/** Subtracts as many of the tasks from `free` as fit; returns how many don't. */
function packTasks(spec: JobSpec, free: Resources, taskCount: number): number {
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

/** The suitable offers with the lowest price per task, cheapest first. */
function cheapestOffers(offers: readonly MachineOffer[], need: CapacityNeed): MachineOffer[] {
  const { spec } = need;
  const ranked = offers
    .filter((offer) => isSuitable(offer, need))
    .sort((a, b) => pricePerTask(a, spec) - pricePerTask(b, spec));
  if (ranked.length === 0) return [];
  const limit = pricePerTask(ranked[0]!, spec) * EQUAL_PRICE_FACTOR;
  return ranked.filter((offer) => pricePerTask(offer, spec) <= limit);
}

/** Hourly price of the offered machine per task that fits on it. */
const pricePerTask = ({ machineType, isSpot }: MachineOffer, spec: JobSpec): number =>
  (isSpot ? machineType.spotHourlyPrice : machineType.hourlyPrice) / tasksPerMachine(machineType, spec);

const isSameOffer = (a: MachineOffer, b: MachineOffer): boolean =>
  a.machineType.name === b.machineType.name && a.zone === b.zone && a.isSpot === b.isSpot;

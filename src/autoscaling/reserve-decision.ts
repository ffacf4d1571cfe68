/** Decides which machines to add for the reserve of free resources, before tasks have to wait for them. */
import { MAX_RESERVE_AT_ONCE, RESERVE_SHARE } from '../constants/autoscaling.js';
import type { MachineType } from '../domain/machine-type.js';
import { isBelowReserve, type MachineOffer, type WantedMachines } from './scale-out-decision.js';

/** A machine that takes new tasks. */
export interface ReserveMachine {
  machineType: MachineType;
  zone: string;
  freeCpus: number;
}

/** The snapshot that the decision is based on. */
export interface ReserveDecisionInput {
  schedulableMachines: readonly ReserveMachine[];
  booting: readonly MachineOffer[];
  offers: readonly MachineOffer[];
}

/** Machines with GPUs have a separate reserve, since GPU tasks fit on no other machines. */
type MachineClass = 'cpu' | 'gpu';

interface ClassCapacity {
  freeCpus: number;
  totalCpus: number;
}

const classOf = (machineType: MachineType): MachineClass => (machineType.gpus > 0 ? 'gpu' : 'cpu');

const pricePerCpu = ({ hourlyPrice, cpus }: MachineType): number => hourlyPrice / cpus;

/** The machines to add for the first class below its reserve that has an offer; undefined: there is no such class. */
export function decideReserve(input: ReserveDecisionInput): WantedMachines | undefined {
  for (const [machineClass, { freeCpus, totalCpus }] of capacityByClass(input)) {
    if (!isBelowReserve(freeCpus, totalCpus)) continue;
    const offer = bestOffer(machineClass, input);
    if (offer === undefined) continue;
    const missingMachines = Math.ceil((totalCpus * RESERVE_SHARE - freeCpus) / offer.machineType.cpus);
    return { ...offer, count: Math.min(MAX_RESERVE_AT_ONCE, Math.max(1, missingMachines)) };
  }
  return undefined;
}

/** Covers only classes with a schedulable machine: no reserve is kept of a class that nobody uses. */
function capacityByClass({ schedulableMachines, booting }: ReserveDecisionInput): Map<MachineClass, ClassCapacity> {
  const classes = new Map<MachineClass, ClassCapacity>();
  for (const { machineType, freeCpus } of schedulableMachines) {
    const capacity = classes.get(classOf(machineType)) ?? { freeCpus: 0, totalCpus: 0 };
    capacity.freeCpus += Math.max(0, freeCpus);
    capacity.totalCpus += machineType.cpus;
    classes.set(classOf(machineType), capacity);
  }
  for (const { machineType } of booting) {
    const capacity = classes.get(classOf(machineType));
    if (capacity !== undefined) capacity.freeCpus += machineType.cpus;
  }
  return classes;
}

/** The cheapest on-demand offer, in the zone with the fewest machines; else any spot offer. */
function bestOffer(machineClass: MachineClass, { offers, schedulableMachines }: ReserveDecisionInput) {
  const classOffers = offers.filter(({ machineType }) => classOf(machineType) === machineClass);
  const machineCountIn = (zone: string) => schedulableMachines.filter((machine) => machine.zone === zone).length;
  const [cheapest] = classOffers
    .filter(({ isSpot }) => !isSpot)
    .sort(
      (a, b) =>
        pricePerCpu(a.machineType) - pricePerCpu(b.machineType) || machineCountIn(a.zone) - machineCountIn(b.zone),
    );
  return cheapest ?? classOffers.find(({ isSpot }) => isSpot);
}

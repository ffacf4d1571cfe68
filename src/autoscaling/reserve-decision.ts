/** Decides which machines to add for the reserve of free resources, before tasks have to wait for them. */
import { MAX_RESERVE_AT_ONCE, RESERVE_SHARE } from '../constants/autoscaling.js';
import type { MachineType } from '../domain/machine-type.js';
import { isBelowReserve, type MachineOffer, type WantedMachines } from './scale-out-decision.js';

/** A machine that takes new work. */
export interface ReserveMachine {
  machineType: MachineType;
  zone: string;
  freeCpus: number;
}

/** The snapshot that is decided on. */
export interface ReserveDecisionInput {
  openMachines: readonly ReserveMachine[];
  booting: readonly MachineOffer[];
  offers: readonly MachineOffer[];
}

/** Machines with GPUs have a reserve of their own: tasks for them fit nowhere else. */
type MachineClass = 'cpu' | 'gpu';

interface ClassCapacity {
  freeCpus: number;
  totalCpus: number;
}

const classOf = (machineType: MachineType): MachineClass => (machineType.gpus > 0 ? 'gpu' : 'cpu');

const pricePerCpu = ({ hourlyPrice, cpus }: MachineType): number => hourlyPrice / cpus;

/** The machines for the first class that lacks a reserve; undefined: none does, or nothing is on offer. */
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

/** Only classes that have a machine up count: no reserve is kept of what nobody has used. */
function capacityByClass({ openMachines, booting }: ReserveDecisionInput): Map<MachineClass, ClassCapacity> {
  const classes = new Map<MachineClass, ClassCapacity>();
  for (const { machineType, freeCpus } of openMachines) {
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
function bestOffer(machineClass: MachineClass, { offers, openMachines }: ReserveDecisionInput) {
  const ofClass = offers.filter(({ machineType }) => classOf(machineType) === machineClass);
  const machinesIn = (zone: string) => openMachines.filter((machine) => machine.zone === zone).length;
  const [cheapest] = ofClass
    .filter(({ isSpot }) => !isSpot)
    .sort((a, b) => pricePerCpu(a.machineType) - pricePerCpu(b.machineType) || machinesIn(a.zone) - machinesIn(b.zone));
  return cheapest ?? ofClass.find(({ isSpot }) => isSpot);
}

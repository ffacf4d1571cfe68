/** Where tasks may run according to the protocol: machine types, zones, free resources and team limits. */
import type { MachineType } from '../src/domain/machine-type.js';
import { machineResourcesOf, subtractTask } from './machine-resources.js';
import type { ObservedCluster, ObservedMachine } from './observed-cluster.js';
import type { Submission } from './submission-wire-codec.js';

/** Sums of decimal amounts have rounding errors. */
const ROUNDING_TOLERANCE = 1e-6;

/** A team with its limits, under their names in the settings file; 0 or absent: no limit. */
export interface TeamLimits {
  name: string;
  cpus_max?: number;
  gpus_max?: number;
}

/** Does the team's usage exceed its limit on a resource that the job needs? */
const exceedsLimit = (limit: number, needed: number, used: number): boolean =>
  limit > 0 && needed > 0 && used > limit + ROUNDING_TOLERANCE;

/** Applies the placement rules to the observed cluster. */
export class PlacementRules {
  constructor(
    private readonly observed: ObservedCluster,
    private readonly teams: readonly TeamLimits[],
    private readonly machineTypes: readonly MachineType[],
  ) {}

  /** Why one more task of the job may not run on the machine now; undefined if it may. */
  placementViolation(spec: Submission, machine: ObservedMachine): string | undefined {
    if (spec.machineTypes?.includes(machine.machineType) === false) return `type ${machine.machineType}`;
    if ((spec.zone ?? machine.zone) !== machine.zone) return `zone ${machine.zone}`;
    if (machine.isSpot && !spec.allowsSpot) return 'a spot machine';
    return this.zoneViolation(spec, machine.zone);
  }

  private zoneViolation(spec: Submission, zone: string): string | undefined {
    const zones = this.observed.runsOf(spec.id).map((run) => this.observed.zoneOf(run));
    const other = zones.find((each) => each !== zone);
    if (spec.singleZone && other !== undefined) return `zone ${zone} beside tasks in ${other}`;
    const here = zones.filter((each) => each === zone).length;
    if (spec.spreadAcrossZones && here + 1 > Math.ceil(spec.taskCount / 2)) return `${here + 1} tasks in zone ${zone}`;
    return undefined;
  }

  /** Why the job's team, with `more` more tasks of the job, exceeds its limit; undefined if it does not. */
  quotaViolation(spec: Submission, more: number): string | undefined {
    let cpus = more * spec.cpus;
    let gpus = more * spec.gpus;
    for (const run of this.observed.runs) {
      const other = this.observed.jobs.get(run.jobId)?.spec;
      if (other?.team !== spec.team) continue;
      cpus += other.cpus;
      gpus += other.gpus;
    }
    const { cpus_max = 0, gpus_max = 0 } = this.teams.find((each) => each.name === spec.team) ?? {};
    if (exceedsLimit(cpus_max, spec.cpus, cpus)) return `${spec.team} uses ${cpus} CPUs`;
    if (exceedsLimit(gpus_max, spec.gpus, gpus)) return `${spec.team} uses ${gpus} GPUs`;
    return undefined;
  }

  /** Why a job is malformed or can never run; undefined if it can. */
  rejectionReason(spec: Submission | undefined): string | undefined {
    if (spec === undefined) return 'a field is missing or invalid';
    const team = this.teams.find((each) => each.name === spec.team);
    if (team === undefined) return 'unknown team';
    if (!this.machineTypes.some((each) => fitsMachineType(spec, each))) return 'fits no allowed machine type';
    const tasks = spec.kind === 'array' ? 1 : spec.taskCount;
    const { cpus_max = 0, gpus_max = 0 } = team;
    if (exceedsLimit(cpus_max, spec.cpus, spec.cpus * tasks)) return "more CPUs than its team's limit";
    if (exceedsLimit(gpus_max, spec.gpus, spec.gpus * tasks)) return "more GPUs than its team's limit";
    return undefined;
  }

  /** Could `needed` more tasks of the job start now? */
  hasRoom(spec: Submission, needed: number): boolean {
    if (this.quotaViolation(spec, needed) !== undefined) return false;
    const counts = this.freeSlotsByZone(spec);
    const room = spec.singleZone ? Math.max(0, ...counts) : counts.reduce((a, b) => a + b, 0);
    return room >= needed;
  }

  private freeSlotsByZone(spec: Submission): number[] {
    const slots = new Map<string, number>();
    for (const [machineId, machine] of this.observed.machines) {
      if (!machine.isUsable || machine.isFaulty || this.placementViolation(spec, machine) !== undefined) continue;
      slots.set(machine.zone, (slots.get(machine.zone) ?? 0) + this.freeSlotsOn(machineId, machine, spec));
    }
    if (!spec.spreadAcrossZones) return [...slots.values()];
    const half = Math.ceil(spec.taskCount / 2);
    const zones = this.observed.runsOf(spec.id).map((run) => this.observed.zoneOf(run));
    return [...slots].map(([zone, count]) => Math.min(count, half - zones.filter((each) => each === zone).length));
  }

  /** How many more tasks of the job fit on the machine. */
  private freeSlotsOn(machineId: string, machine: ObservedMachine, spec: Submission): number {
    const machineType = this.machineTypes.find((each) => each.name === machine.machineType);
    if (machineType === undefined) return 0;
    const free = machineResourcesOf(machineType);
    for (const run of this.observed.runs) {
      const other = run.machineId === machineId ? this.observed.jobs.get(run.jobId)?.spec : undefined;
      if (other !== undefined) subtractTask(free, other);
    }
    const amounts = (['cpus', 'gpus', 'memoryGb'] as const).filter((amount) => spec[amount] > 0);
    return Math.max(
      0,
      Math.floor(Math.min(...amounts.map((amount) => (free[amount] + ROUNDING_TOLERANCE) / spec[amount]))),
    );
  }
}

const fitsMachineType = (spec: Submission, machineType: MachineType): boolean =>
  spec.machineTypes?.includes(machineType.name) !== false &&
  machineType.zones.includes(spec.zone ?? machineType.zones[0]!) &&
  spec.cpus <= machineType.cpus &&
  spec.gpus <= machineType.gpus &&
  spec.memoryGb <= machineType.memoryGb;

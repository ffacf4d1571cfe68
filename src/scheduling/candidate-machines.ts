/** The filter step of a plan: the machines that a job may run on, determined once for all jobs with the same requirements. */
import type { JobSpec } from '../domain/job.js';
import type { MachineInfo } from '../domain/machine-state.js';
import { type Resources, resourcesOf } from '../domain/resources.js';
import { isAllowedOn } from '../records/placement-rules.js';

/** Machines that some jobs may use, and the requests that are known to fit on none of them. */
export class CandidateMachines {
  /** Resources of one task each that fitted on no machine. */
  private readonly unplaceableRequests: Resources[] = [];

  constructor(readonly machines: readonly MachineInfo[]) {}

  /** Whether no task of the job can fit: free resources only shrink in a plan, so equal or larger requests don't fit either. */
  isFull(spec: JobSpec): boolean {
    return this.unplaceableRequests.some(
      ({ cpus, gpus, memoryGb, reportBytes }) =>
        spec.cpus >= cpus && spec.gpus >= gpus && spec.memoryGb >= memoryGb && spec.reportBytes >= reportBytes,
    );
  }

  /** Records that a task of the job fits on none of the machines. */
  recordFull(spec: JobSpec): void {
    this.unplaceableRequests.push(resourcesOf(spec));
  }
}

/** The candidate machines of one partition, and those of all other partitions. */
export interface PartitionSplit {
  local: CandidateMachines;
  remote: CandidateMachines;
}

/** The candidates of all jobs that require the same machine types, zone and spot setting. */
interface RequirementGroup {
  allowed: CandidateMachines;
  splits: Map<number, PartitionSplit>;
}

/** The schedulable machines of one plan, filtered once for all jobs with the same requirements. */
export class CandidateMachineIndex {
  private readonly groups = new Map<string, RequirementGroup>();
  private readonly partitionByMachine: Map<string, number>;

  constructor(
    private readonly machines: readonly MachineInfo[],
    partitionOf: (machineId: string) => number,
  ) {
    this.partitionByMachine = new Map(machines.map(({ machineId }) => [machineId, partitionOf(machineId)]));
  }

  /** The machines that tasks of the job may run on, whatever their free resources. */
  allowed(spec: JobSpec): CandidateMachines {
    return this.groupOf(spec).allowed;
  }

  /** The allowed machines, split into those of the partition and all others. */
  split(spec: JobSpec, partition: number): PartitionSplit {
    const { allowed, splits } = this.groupOf(spec);
    const existing = splits.get(partition);
    if (existing !== undefined) return existing;
    const isLocal = ({ machineId }: MachineInfo) => this.partitionByMachine.get(machineId) === partition;
    const split = {
      local: new CandidateMachines(allowed.machines.filter(isLocal)),
      remote: new CandidateMachines(allowed.machines.filter((machine) => !isLocal(machine))),
    };
    splits.set(partition, split);
    return split;
  }

  private groupOf(spec: JobSpec): RequirementGroup {
    const key = JSON.stringify([spec.machineTypes, spec.zone, spec.allowsSpot]);
    const existing = this.groups.get(key);
    if (existing !== undefined) return existing;
    const allowed = new CandidateMachines(this.machines.filter((machine) => isAllowedOn(spec, machine)));
    const group = { allowed, splits: new Map<number, PartitionSplit>() };
    this.groups.set(key, group);
    return group;
  }
}

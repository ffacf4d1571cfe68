/** The filter step of a plan: the machines that a job may ever run on, found once for all jobs with the same requirements. */
import type { JobSpec } from '../domain/job.js';
import type { MachineInfo } from '../domain/machine-state.js';
import { type Resources, resourcesOf } from '../domain/resources.js';
import { isAllowedOn } from '../records/placement-rules.js';

/** Machines that some jobs may use, and what is known to fit on none of them. */
export class CandidateMachines {
  /** Requests that fitted on no machine. */
  private readonly unplaceable: Resources[] = [];

  constructor(readonly machines: readonly MachineInfo[]) {}

  /** Free resources only shrink during a plan: where a request did not fit, one as large or larger does not fit either. */
  isFull(spec: JobSpec): boolean {
    return this.unplaceable.some(
      ({ cpus, gpus, memoryGb }) => spec.cpus >= cpus && spec.gpus >= gpus && spec.memoryGb >= memoryGb,
    );
  }

  /** A task of the job fits on none of the machines. */
  recordFull(spec: JobSpec): void {
    this.unplaceable.push(resourcesOf(spec));
  }
}

/** The machines of one partition, and all others. */
export interface PartitionSplit {
  local: CandidateMachines;
  remote: CandidateMachines;
}

/** The candidates of all jobs with the same requirements of a machine. */
interface MachineKind {
  allowed: CandidateMachines;
  splits: Map<number, PartitionSplit>;
}

/** The open machines of one plan, sorted once for all jobs that ask for the same kind of machine. */
export class CandidateMachineIndex {
  private readonly kinds = new Map<string, MachineKind>();
  private readonly partitionByMachine: Map<string, number>;

  constructor(
    private readonly machines: readonly MachineInfo[],
    partitionOf: (machineId: string) => number,
  ) {
    this.partitionByMachine = new Map(machines.map(({ machineId }) => [machineId, partitionOf(machineId)]));
  }

  /** The machines that a task of the job may ever run on. */
  allowed(spec: JobSpec): CandidateMachines {
    return this.kindOf(spec).allowed;
  }

  /** The same, those of a partition apart from the others. */
  split(spec: JobSpec, partition: number): PartitionSplit {
    const { allowed, splits } = this.kindOf(spec);
    const known = splits.get(partition);
    if (known !== undefined) return known;
    const isLocal = ({ machineId }: MachineInfo) => this.partitionByMachine.get(machineId) === partition;
    const split = {
      local: new CandidateMachines(allowed.machines.filter(isLocal)),
      remote: new CandidateMachines(allowed.machines.filter((machine) => !isLocal(machine))),
    };
    splits.set(partition, split);
    return split;
  }

  private kindOf(spec: JobSpec): MachineKind {
    const key = `${spec.machineTypes?.join(',') ?? '*'} ${spec.zone ?? '*'} ${spec.allowsSpot}`;
    const known = this.kinds.get(key);
    if (known !== undefined) return known;
    const allowed = new CandidateMachines(this.machines.filter((machine) => isAllowedOn(spec, machine)));
    const kind = { allowed, splits: new Map<number, PartitionSplit>() };
    this.kinds.set(key, kind);
    return kind;
  }
}

import type { JobSpec } from '../domain/job.js';
import { type Resources, resourcesOf } from '../domain/resources.js';
import { isAllowedOn } from '../records/placement-rules.js';
import type { MachineInfo } from '../domain/machine-state.js';

/** Machines that a kind of job may use, and what is known to fit on none of them. */
export class CandidateMachines {
  private readonly unplaceable: Resources[] = [];

  constructor(readonly machines: readonly MachineInfo[]) {}

  /** Room only shrinks during a run: where a task has found none, one as large or larger finds none either. */
  isFull(spec: JobSpec): boolean {
    return this.unplaceable.some(
      ({ cpus, gpus, memoryGb }) => spec.cpus >= cpus && spec.gpus >= gpus && spec.memoryGb >= memoryGb,
    );
  }

  recordFull(spec: JobSpec): void {
    this.unplaceable.push(resourcesOf(spec));
  }
}

interface MachineKind {
  allowed: CandidateMachines;
  /** By partition: its machines, and all others. */
  partitions: Map<number, { local: CandidateMachines; remote: CandidateMachines }>;
}

/** The open machines of one planner run, sorted once for all jobs that ask for the same kind of machine. */
export class CandidateMachineIndex {
  private readonly kinds = new Map<string, MachineKind>();
  private readonly partitions: Map<string, number>;

  constructor(
    private readonly machines: readonly MachineInfo[],
    partitionOf: (machineId: string) => number,
  ) {
    this.partitions = new Map(machines.map((machine) => [machine.machineId, partitionOf(machine.machineId)]));
  }

  private kindOf(spec: JobSpec): MachineKind {
    const key = `${spec.machineTypes?.join(',') ?? '*'} ${spec.zone ?? '*'} ${spec.allowsSpot}`;
    let kind = this.kinds.get(key);
    if (kind === undefined) {
      const allowed = new CandidateMachines(this.machines.filter((machine) => isAllowedOn(spec, machine)));
      this.kinds.set(key, (kind = { allowed, partitions: new Map() }));
    }
    return kind;
  }

  /** The machines that a task of the job may ever run on. */
  allowed(spec: JobSpec): CandidateMachines {
    return this.kindOf(spec).allowed;
  }

  /** The same, those of a partition apart from the others. */
  split(spec: JobSpec, partition: number): { local: CandidateMachines; remote: CandidateMachines } {
    const { allowed, partitions } = this.kindOf(spec);
    let split = partitions.get(partition);
    if (split === undefined) {
      const isLocal = (machine: MachineInfo) => this.partitions.get(machine.machineId) === partition;
      const local = new CandidateMachines(allowed.machines.filter(isLocal));
      const remote = new CandidateMachines(allowed.machines.filter((machine) => !isLocal(machine)));
      partitions.set(partition, (split = { local, remote }));
    }
    return split;
  }
}

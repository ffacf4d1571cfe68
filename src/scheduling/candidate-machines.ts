import type { JobSpec } from '../domain/job.js';
import { type Resources, resourcesOf } from '../domain/resources.js';
import { isAllowedOn } from '../records/placement-rules.js';
import type { MachineInfo } from '../domain/machine-state.js';

/** Machines that a kind of job may use, and what is known to fit on none of them. */
export class CandidateMachines {
  private readonly full: Resources[] = [];

  constructor(readonly machines: readonly MachineInfo[]) {}

  /** Room only shrinks during a run: where a task has found none, one as large or larger finds none either. */
  isFull(spec: JobSpec): boolean {
    return this.full.some(
      ({ cpus, gpus, memoryGb }) => spec.cpus >= cpus && spec.gpus >= gpus && spec.memoryGb >= memoryGb,
    );
  }

  noteFull(spec: JobSpec): void {
    this.full.push(resourcesOf(spec));
  }
}

interface Kind {
  allowed: CandidateMachines;
  /** By partition: its machines, and all others. */
  partitions: Map<number, { near: CandidateMachines; far: CandidateMachines }>;
}

/** The open machines of one planner run, sorted once for all jobs that ask for the same kind of machine. */
export class CandidateMachineIndex {
  private readonly kinds = new Map<string, Kind>();
  private readonly partitions: Map<string, number>;

  constructor(
    private readonly machines: readonly MachineInfo[],
    partitionOf: (machineId: string) => number,
  ) {
    this.partitions = new Map(machines.map((machine) => [machine.machineId, partitionOf(machine.machineId)]));
  }

  private kind(spec: JobSpec): Kind {
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
    return this.kind(spec).allowed;
  }

  /** The same, those of a partition apart from the others. */
  split(spec: JobSpec, partition: number): { near: CandidateMachines; far: CandidateMachines } {
    const { allowed, partitions } = this.kind(spec);
    let split = partitions.get(partition);
    if (split === undefined) {
      const isNear = (machine: MachineInfo) => this.partitions.get(machine.machineId) === partition;
      const near = new CandidateMachines(allowed.machines.filter(isNear));
      const far = new CandidateMachines(allowed.machines.filter((machine) => !isNear(machine)));
      partitions.set(partition, (split = { near, far }));
    }
    return split;
  }
}

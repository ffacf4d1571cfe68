import type { JobSpec } from '../ledger/records.js';
import { allowedOn, roomOf, type Room } from '../ledger/rules.js';
import type { MachineInfo } from './fleet.js';

/** Machines that a kind of job may use, and what is known to fit on none of them. */
export class Pool {
  private readonly full: Room[] = [];

  constructor(readonly machines: readonly MachineInfo[]) {}

  /** Room only shrinks during a run: where a task has found none, one as large or larger finds none either. */
  isFull(spec: JobSpec): boolean {
    return this.full.some(({ cpus, cards, memGb }) => spec.Cpus >= cpus && spec.Cards >= cards && spec.MemGb >= memGb);
  }

  noteFull(spec: JobSpec): void {
    this.full.push(roomOf(spec));
  }
}

interface Kind {
  allowed: Pool;
  /** By partition: its machines, and all others. */
  partitions: Map<number, { near: Pool; far: Pool }>;
}

/** The open machines of one planner run, sorted once for all jobs that ask for the same kind of machine. */
export class Pools {
  private readonly kinds = new Map<string, Kind>();
  private readonly partitions: Map<string, number>;

  constructor(
    private readonly machines: readonly MachineInfo[],
    partitionOf: (host: string) => number,
  ) {
    this.partitions = new Map(machines.map((machine) => [machine.host, partitionOf(machine.host)]));
  }

  private kind(spec: JobSpec): Kind {
    const key = `${spec.Flavors?.join(',') ?? '*'} ${spec.Site ?? '*'} ${spec.Reclaimable}`;
    let kind = this.kinds.get(key);
    if (kind === undefined) {
      const allowed = new Pool(this.machines.filter((machine) => allowedOn(spec, machine)));
      this.kinds.set(key, (kind = { allowed, partitions: new Map() }));
    }
    return kind;
  }

  /** The machines that a task of the job may ever run on. */
  allowed(spec: JobSpec): Pool {
    return this.kind(spec).allowed;
  }

  /** The same, those of a partition apart from the others. */
  split(spec: JobSpec, partition: number): { near: Pool; far: Pool } {
    const { allowed, partitions } = this.kind(spec);
    let split = partitions.get(partition);
    if (split === undefined) {
      const isNear = (machine: MachineInfo) => this.partitions.get(machine.host) === partition;
      const near = new Pool(allowed.machines.filter(isNear));
      const far = new Pool(allowed.machines.filter((machine) => !isNear(machine)));
      partitions.set(partition, (split = { near, far }));
    }
    return split;
  }
}

import type { JobSpec } from '../ledger/records.js';
import { allowedOn } from '../ledger/rules.js';
import type { MachineInfo } from './fleet.js';

interface Pool {
  allowed: MachineInfo[];
  /** By part. */
  near: Map<number, MachineInfo[]>;
  far: Map<number, MachineInfo[]>;
}

/** The open machines of one planner run, sorted once for all jobs that ask for the same kind of machine. */
export class Pools {
  private readonly pools = new Map<string, Pool>();
  private readonly parts: Map<string, number>;

  constructor(
    private readonly machines: readonly MachineInfo[],
    partOf: (host: string) => number,
  ) {
    this.parts = new Map(machines.map((machine) => [machine.host, partOf(machine.host)]));
  }

  private pool(spec: JobSpec): Pool {
    const key = `${spec.Flavors?.join(',') ?? '*'} ${spec.Site ?? '*'} ${spec.Reclaimable}`;
    let pool = this.pools.get(key);
    if (pool === undefined) {
      const allowed = this.machines.filter((machine) => allowedOn(spec, machine));
      this.pools.set(key, (pool = { allowed, near: new Map(), far: new Map() }));
    }
    return pool;
  }

  /** The machines that a task of the job may ever run on. */
  allowed(spec: JobSpec): readonly MachineInfo[] {
    return this.pool(spec).allowed;
  }

  /** The same, those of a part apart from the others. */
  split(spec: JobSpec, part: number): { near: readonly MachineInfo[]; far: readonly MachineInfo[] } {
    const pool = this.pool(spec);
    let near = pool.near.get(part);
    let far = pool.far.get(part);
    if (near === undefined || far === undefined) {
      near = pool.allowed.filter((machine) => this.parts.get(machine.host) === part);
      far = pool.allowed.filter((machine) => this.parts.get(machine.host) !== part);
      pool.near.set(part, near);
      pool.far.set(part, far);
    }
    return { near, far };
  }
}

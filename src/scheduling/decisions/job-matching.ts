/** Matching of one job's tasks under its placement rules: one zone, spread across zones, or replicas on separate machines. */
import type { JobSpec } from '../../domain/job.js';
import { subtractResources } from '../../domain/resources.js';
import { isZoneAllowed } from '../../records/placement-rules.js';
import { match, type MatchingMachine, type MatchingTask } from './matching.js';

/** The tasks of a job that are to be matched, and the inputs of the matching. */
export interface JobMatching {
  spec: JobSpec;
  tasks: readonly MatchingTask[];
  machines: readonly MatchingMachine[];
  /** Number of the job's tasks that are placed or in flight, by zone. */
  tasksPerZone: ReadonlyMap<string, number>;
  tierOf: (machine: MatchingMachine) => number;
}

/** Whether the zone can take one more task of the job, given its placed and its newly matched tasks, each counted by zone. */
export function isZoneOpenFor(
  spec: JobSpec,
  zone: string,
  tasksPerZone: ReadonlyMap<string, number> | undefined,
  matchedPerZone: ReadonlyMap<string, number>,
): boolean {
  if (!spec.spreadAcrossZones && !spec.singleZone) return true;
  const total = new Map(tasksPerZone);
  for (const [each, count] of matchedPerZone) total.set(each, (total.get(each) ?? 0) + count);
  return isZoneAllowed(spec, total, zone);
}

const matchInZones = (
  { spec, tasks, machines, tasksPerZone, tierOf }: JobMatching,
  isMachineOpen: (machine: MatchingMachine, matchedCount: number) => boolean = () => true,
): Map<string, MatchingMachine> =>
  match(tasks, machines, {
    isAllowed: () => true,
    isZoneOpen: (_, zone, matchedPerZone) => isZoneOpenFor(spec, zone, tasksPerZone, matchedPerZone),
    isMachineOpen: (_, machine, matchedCount) => isMachineOpen(machine, matchedCount),
    tierOf: (_, machine) => tierOf(machine),
  });

/** Matches the tasks of an array or gang. A single-zone job without placed tasks goes to the zone that takes most of them. */
export function matchJob(job: JobMatching): Map<string, MatchingMachine> {
  const { spec, machines, tasksPerZone } = job;
  const canChooseZone = spec.singleZone && tasksPerZone.size === 0 && spec.taskCount > 1;
  if (!canChooseZone) return matchInZones(job);
  let best = new Map<string, MatchingMachine>();
  for (const zone of new Set(machines.map((machine) => machine.zone))) {
    const machinesInZone = machines.filter((machine) => machine.zone === zone);
    const matches = matchInZones({ ...job, machines: machinesInZone });
    if (matches.size > best.size) best = matches;
  }
  return best;
}

/** Where a service's replicas are placed and where its image is cached. */
export interface ReplicaState {
  /** Machine ids of the placed replicas, one entry per replica. */
  placedMachineIds: Iterable<string>;
  hasImageCached: (machine: MatchingMachine) => boolean;
}

/** One run of `matchReplicas`. Works on copies of the machines, and subtracts matched tasks from their free resources. */
class ReplicaMatching {
  readonly matches = new Map<string, MatchingMachine>();
  private readonly machines: MatchingMachine[];
  private readonly replicasPerMachine = new Map<string, number>();
  private readonly tasksPerZone: Map<string, number>;

  constructor(private readonly job: JobMatching) {
    this.machines = job.machines.map((machine) => ({ ...machine, free: { ...machine.free } }));
    this.tasksPerZone = new Map(job.tasksPerZone);
  }

  run({ placedMachineIds, hasImageCached }: ReplicaState): void {
    for (const machineId of placedMachineIds) this.countReplica(machineId);
    const cachedMachines = this.machines.filter(hasImageCached);
    this.fillEvenly(cachedMachines);
    this.fillEvenly(this.machines);
  }

  /** Allows one replica per machine first, then two, and so on. */
  private fillEvenly(machines: readonly MatchingMachine[]): void {
    const { spec } = this.job;
    for (let maxPerMachine = 1; maxPerMachine <= spec.taskCount; maxPerMachine++) {
      const tasks = this.job.tasks.filter((task) => !this.matches.has(task.id));
      if (tasks.length === 0) return;
      const rest = { ...this.job, tasks, machines, tasksPerZone: this.tasksPerZone };
      const matches = matchInZones(rest, ({ id }, matchedCount) => this.replicasOn(id) + matchedCount < maxPerMachine);
      // All machines are below the limit, and none takes a replica: a higher limit won't help.
      if (matches.size === 0 && machines.every(({ id }) => this.replicasOn(id) < maxPerMachine)) return;
      for (const [taskId, machine] of matches) this.take(taskId, machine);
    }
  }

  private take(taskId: string, machine: MatchingMachine): void {
    this.matches.set(taskId, machine);
    subtractResources(machine.free, this.job.spec);
    this.countReplica(machine.id);
    this.tasksPerZone.set(machine.zone, (this.tasksPerZone.get(machine.zone) ?? 0) + 1);
  }

  private replicasOn(machineId: string): number {
    return this.replicasPerMachine.get(machineId) ?? 0;
  }

  private countReplica(machineId: string): void {
    this.replicasPerMachine.set(machineId, this.replicasOn(machineId) + 1);
  }
}

/**
 * Spreads the replicas of a service over as many machines as possible: the loss of a machine then affects fewer replicas, and
 * more machines have its image cached when the next service starts. Replicas still share a machine with the cached image rather
 * than wait for a fetch on another machine.
 */
export function matchReplicas(job: JobMatching, replicaState: ReplicaState): Map<string, MatchingMachine> {
  const matching = new ReplicaMatching(job);
  matching.run(replicaState);
  return matching.matches;
}

/** Matching of one job's tasks under its rules about zones: all or most in one zone, spread, or replicas on separate machines. */
import type { JobSpec } from '../../domain/job.js';
import { subtractResources } from '../../domain/resources.js';
import { isZoneAllowed } from '../../records/placement-rules.js';
import { match, type MatchingMachine, type MatchingTask } from './matching.js';

/** A job's tasks to be matched, with all that decides about it. */
export interface JobMatching {
  spec: JobSpec;
  tasks: readonly MatchingTask[];
  machines: readonly MatchingMachine[];
  /** The job's tasks that are placed or in flight, by zone. */
  tasksPerZone: ReadonlyMap<string, number>;
  tierOf: (machine: MatchingMachine) => number;
}

/** Can the zone take one more task of the job, beside its tasks elsewhere and those matched so far, both by zone? */
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

/** Matches the tasks of an array or a gang. A single-zone job that has no task yet goes to the zone that takes most of it. */
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

/** What is known of a service's replicas and its image. */
export interface ReplicaFacts {
  /** Machine ids of the replicas that are placed, one entry a replica. */
  placedOn: Iterable<string>;
  hasImageCached: (machine: MatchingMachine) => boolean;
}

/** One run of `matchReplicas`. Works on copies of the machines, off which it takes what it has matched. */
class ReplicaMatching {
  readonly matches = new Map<string, MatchingMachine>();
  private readonly machines: MatchingMachine[];
  private readonly replicasPerMachine = new Map<string, number>();
  private readonly tasksPerZone: Map<string, number>;

  constructor(private readonly job: JobMatching) {
    this.machines = job.machines.map((machine) => ({ ...machine, free: { ...machine.free } }));
    this.tasksPerZone = new Map(job.tasksPerZone);
  }

  run({ placedOn, hasImageCached }: ReplicaFacts): void {
    for (const machineId of placedOn) this.countReplica(machineId);
    const cachedMachines = this.machines.filter(hasImageCached);
    this.fillEvenly(cachedMachines);
    this.fillEvenly(this.machines);
  }

  /** Allows one replica a machine, then two, and so on. */
  private fillEvenly(machines: readonly MatchingMachine[]): void {
    const { spec } = this.job;
    for (let maxPerMachine = 1; maxPerMachine <= spec.taskCount; maxPerMachine++) {
      const tasks = this.job.tasks.filter((task) => !this.matches.has(task.id));
      if (tasks.length === 0) return;
      const rest = { ...this.job, tasks, machines, tasksPerZone: this.tasksPerZone };
      const matches = matchInZones(rest, ({ id }, matchedCount) => this.replicasOn(id) + matchedCount < maxPerMachine);
      // No siblings in the way, and still no match: more of them on one machine won't help.
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
 * Matches replicas of a service to as many machines as there are: a machine's loss then costs the service less, and more
 * machines have its image cached when the next service comes. But two share a machine with the image rather than wait for a
 * fetch.
 */
export function matchReplicas(job: JobMatching, facts: ReplicaFacts): Map<string, MatchingMachine> {
  const matching = new ReplicaMatching(job);
  matching.run(facts);
  return matching.matches;
}

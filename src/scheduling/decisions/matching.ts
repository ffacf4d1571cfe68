import type { Resources } from '../../domain/resources.js';

/** A task looking for a machine. Tasks of one `group` (job) are alike and share one preference list. */
export interface MatchingTask {
  id: string;
  group: string;
  /** What the task uses: its machine's used room split by request, or its request where nothing is known. */
  usage: Resources;
  /** The most it may use: its request. */
  requested: Resources;
}

export interface MatchingMachine {
  id: string;
  zone: string;
  free: Resources;
}

export interface MatchRules {
  /** Is the machine open to the group at all (type, zone, kind, health)? */
  isAllowed(group: string, machine: MatchingMachine): boolean;
  /** May the group have one more task in the zone, beside `taken` matched so far? */
  isZoneOpen(group: string, zone: string, taken: ReadonlyMap<string, number>): boolean;
  /** Extension: may the machine have one more task of the group, beside `taken` matched so far? */
  isMachineOpen(group: string, machine: MatchingMachine, taken: number): boolean;
  /** Extension: what is taken off a distance, e.g. for an image that is there already. Distances stay in order within. */
  tierOf(group: string, machine: MatchingMachine): number;
}

const EPS = 1e-6;

/** Euclidean distance from a task's use to a machine's free CPU and memory. */
export const distanceBetween = (usage: Resources, free: Resources): number =>
  Math.hypot(free.cpus - usage.cpus, free.memoryGb - usage.memoryGb);

/** The machines that a group may go to, nearest first. */
export function preferenceListOf(
  task: MatchingTask,
  machines: readonly MatchingMachine[],
  rules: MatchRules,
): MatchingMachine[] {
  const candidates: { machine: MatchingMachine; tier: number; distance: number }[] = [];
  for (const machine of machines) {
    if (!hasRoomFor(machine.free, task.requested) || !rules.isAllowed(task.group, machine)) continue;
    candidates.push({
      machine,
      tier: rules.tierOf(task.group, machine),
      distance: distanceBetween(task.usage, machine.free),
    });
  }
  candidates.sort((a, b) => a.tier - b.tier || a.distance - b.distance || (a.machine.id < b.machine.id ? -1 : 1));
  return candidates.map((each) => each.machine);
}

const hasRoomFor = (free: Resources, task: Resources): boolean =>
  task.cpus <= free.cpus + EPS && task.memoryGb <= free.memoryGb + EPS && task.gpus <= free.gpus + EPS;

/** Do machines prefer task `a` to task `b`? Higher CPU use first; names decide ties, so that the order is strict. */
export const isPreferredOver = (a: MatchingTask, b: MatchingTask): boolean =>
  a.usage.cpus > b.usage.cpus || (a.usage.cpus === b.usage.cpus && a.id < b.id);

class MachineAssignment {
  readonly tasks: MatchingTask[] = [];
  readonly free: Resources;
  constructor(readonly machine: MatchingMachine) {
    this.free = { ...machine.free };
  }

  add(task: MatchingTask): void {
    let index = this.tasks.length;
    while (index > 0 && isPreferredOver(task, this.tasks[index - 1]!)) index--;
    this.tasks.splice(index, 0, task);
    this.addToFree(task, -1);
  }

  removeLowest(): MatchingTask {
    const task = this.tasks.pop()!;
    this.addToFree(task, 1);
    return task;
  }

  remove(task: MatchingTask): void {
    this.tasks.splice(this.tasks.indexOf(task), 1);
    this.addToFree(task, 1);
  }

  private addToFree(task: MatchingTask, direction: 1 | -1): void {
    this.free.cpus += direction * task.requested.cpus;
    this.free.memoryGb += direction * task.requested.memoryGb;
    this.free.gpus += direction * task.requested.gpus;
  }

  countOf(group: string): number {
    let count = 0;
    for (const task of this.tasks) if (task.group === group) count++;
    return count;
  }

  /** Would the task fit if all matched tasks of lower preference were displaced? */
  canAdmit(task: MatchingTask): boolean {
    if (hasRoomFor(this.free, task.requested)) return true;
    const free = { ...this.free };
    for (let index = this.tasks.length - 1; index >= 0 && !hasRoomFor(free, task.requested); index--) {
      const other = this.tasks[index]!;
      if (!isPreferredOver(task, other)) return false;
      free.cpus += other.requested.cpus;
      free.memoryGb += other.requested.memoryGb;
      free.gpus += other.requested.gpus;
    }
    return hasRoomFor(free, task.requested);
  }
}

/**
 * Task-optimal many-to-one stable matching by deferred acceptance: each task proposes to its machines in order; a
 * machine admits while it has free resources, and a full one lets a higher-ranked task displace its lowest matched tasks, which
 * go on to their next choice. Tasks differ in size, so a displacement or a departure may leave room that a task that was
 * passed over before would now fit: it is reconsidered, without which pairs could remain that would rather have each other.
 * All machines rank tasks alike, so each reconsideration settles the highest-ranked task that it concerns, and the rounds end.
 */
export function match(
  tasks: readonly MatchingTask[],
  machines: readonly MatchingMachine[],
  rules: MatchRules,
): Map<string, MatchingMachine> {
  const preferenceLists = new Map<string, MatchingMachine[]>();
  // Made when a task looks at the machine: a few tasks among hundreds of machines see only the first ones.
  const assignments = new Map<MatchingMachine, MachineAssignment>();
  const passedOver = new Map<MatchingMachine, Set<MatchingTask>>();
  const zoneCounts = new Map<string, Map<string, number>>();
  const result = new Map<string, MatchingMachine>();
  const queue = [...tasks];
  const queued = new Set(tasks);
  const zoneCountsOf = (group: string) => {
    let taken = zoneCounts.get(group);
    if (taken === undefined) zoneCounts.set(group, (taken = new Map<string, number>()));
    return taken;
  };
  const addToZoneCount = (task: MatchingTask, machine: MatchingMachine, change: number) => {
    const taken = zoneCountsOf(task.group);
    taken.set(machine.zone, (taken.get(machine.zone) ?? 0) + change);
  };
  const enqueue = (task: MatchingTask) => {
    if (queued.has(task)) return;
    queued.add(task);
    queue.push(task);
  };
  const notePassedOver = (task: MatchingTask, machine: MatchingMachine) => {
    const tasks = passedOver.get(machine);
    if (tasks === undefined) passedOver.set(machine, new Set([task]));
    else tasks.add(task);
  };
  const reconsider = (machine: MatchingMachine) => {
    const tasks = passedOver.get(machine) ?? [];
    passedOver.delete(machine);
    for (const task of tasks) enqueue(task);
  };
  for (let head = 0; head < queue.length; head++) {
    const task = queue[head]!;
    queued.delete(task);
    let preferenceList = preferenceLists.get(task.group);
    if (preferenceList === undefined)
      preferenceLists.set(task.group, (preferenceList = preferenceListOf(task, machines, rules)));
    const current = result.get(task.id);
    for (const machine of preferenceList) {
      if (machine === current) break;
      let assignment = assignments.get(machine);
      if (assignment === undefined) assignments.set(machine, (assignment = new MachineAssignment(machine)));
      const isZoneOpen = rules.isZoneOpen(task.group, machine.zone, zoneCountsOf(task.group));
      const isMachineOpen = rules.isMachineOpen(task.group, machine, assignment.countOf(task.group));
      if (!isZoneOpen || !isMachineOpen || !assignment.canAdmit(task)) {
        notePassedOver(task, machine);
        continue;
      }
      if (current !== undefined) {
        assignments.get(current)!.remove(task);
        addToZoneCount(task, current, -1);
        reconsider(current);
      }
      let hasDisplaced = false;
      while (!hasRoomFor(assignment.free, task.requested)) {
        const evicted = assignment.removeLowest();
        result.delete(evicted.id);
        addToZoneCount(evicted, machine, -1);
        enqueue(evicted);
        hasDisplaced = true;
      }
      assignment.add(task);
      result.set(task.id, machine);
      addToZoneCount(task, machine, 1);
      if (hasDisplaced) reconsider(machine);
      break;
    }
  }
  return result;
}

/** Stable matching of tasks to machines: pure, on plain data; the callers say what is allowed and what is preferred. */
import { fits, type Resources, subtractResources } from '../../domain/resources.js';

/** A task to be matched. Tasks of one `group` (job) are alike and share one preference list. */
export interface MatchingTask {
  id: string;
  group: string;
  /** What the task uses: the usage of its machine split by request, or its request where nothing is known. */
  usage: Resources;
  /** The most it may use: its request. */
  requested: Resources;
}

/** A machine with the resources that are free before the matching. */
export interface MatchingMachine {
  id: string;
  zone: string;
  free: Resources;
}

/** What the callers decide about a group and a machine. All methods are pure during one matching. */
export interface MatchRules {
  /** Can the machine take tasks of the group at all (type, zone, spot, health)? */
  isAllowed(group: string, machine: MatchingMachine): boolean;
  /** Can the zone take one more task of the group, beside `taken`, its matched tasks by zone? */
  isZoneOpen(group: string, zone: string, taken: ReadonlyMap<string, number>): boolean;
  /** Extension: can the machine take one more task of the group, beside the `taken` ones matched to it so far? */
  isMachineOpen(group: string, machine: MatchingMachine, taken: number): boolean;
  /** Extension: machines of a lower tier are preferred whatever their distance, e.g. those with the image cached. */
  tierOf(group: string, machine: MatchingMachine): number;
}

/** Euclidean distance from a task's use to a machine's free CPU and memory. */
const distanceBetween = (usage: Resources, free: Resources): number =>
  Math.hypot(free.cpus - usage.cpus, free.memoryGb - usage.memoryGb);

/** The machines that a group may go to, nearest first. */
export function preferenceListOf(
  task: MatchingTask,
  machines: readonly MatchingMachine[],
  rules: MatchRules,
): MatchingMachine[] {
  const candidates: { machine: MatchingMachine; tier: number; distance: number }[] = [];
  for (const machine of machines) {
    if (!fits(task.requested, machine.free) || !rules.isAllowed(task.group, machine)) continue;
    candidates.push({
      machine,
      tier: rules.tierOf(task.group, machine),
      distance: distanceBetween(task.usage, machine.free),
    });
  }
  candidates.sort((a, b) => a.tier - b.tier || a.distance - b.distance || (a.machine.id < b.machine.id ? -1 : 1));
  return candidates.map((each) => each.machine);
}

/** Do machines prefer task `a` to task `b`? Higher CPU use first; names decide ties, so that the order is strict. */
export const isPreferredOver = (a: MatchingTask, b: MatchingTask): boolean =>
  a.usage.cpus > b.usage.cpus || (a.usage.cpus === b.usage.cpus && a.id < b.id);

/** A machine with the tasks matched to it so far, the most preferred first, and what they leave free. */
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
    subtractResources(this.free, task.requested);
  }

  removeLowest(): MatchingTask {
    const task = this.tasks.pop()!;
    subtractResources(this.free, task.requested, -1);
    return task;
  }

  remove(task: MatchingTask): void {
    this.tasks.splice(this.tasks.indexOf(task), 1);
    subtractResources(this.free, task.requested, -1);
  }

  countOf(group: string): number {
    let count = 0;
    for (const task of this.tasks) if (task.group === group) count++;
    return count;
  }

  /** Would the task fit if all matched tasks of lower preference were displaced? */
  canAdmit(task: MatchingTask): boolean {
    if (fits(task.requested, this.free)) return true;
    const free = { ...this.free };
    for (let index = this.tasks.length - 1; index >= 0 && !fits(task.requested, free); index--) {
      const other = this.tasks[index]!;
      if (!isPreferredOver(task, other)) return false;
      subtractResources(free, other.requested, -1);
    }
    return fits(task.requested, free);
  }
}

/** One run of the matching: the proposals still to be made, and what has been matched so far. */
class StableMatching {
  readonly matches = new Map<string, MatchingMachine>();
  private readonly preferenceLists = new Map<string, MatchingMachine[]>();
  /** Made when a task proposes to the machine: a few tasks among hundreds of machines see only the first ones. */
  private readonly assignments = new Map<MatchingMachine, MachineAssignment>();
  /** The tasks that each machine has refused, to be reconsidered when something about its tasks changes. */
  private readonly refused = new Map<MatchingMachine, Set<MatchingTask>>();
  /** Matched tasks by group and zone. */
  private readonly zoneCounts = new Map<string, Map<string, number>>();
  private readonly proposers: MatchingTask[];
  private readonly queued: Set<MatchingTask>;

  constructor(
    tasks: readonly MatchingTask[],
    private readonly machines: readonly MatchingMachine[],
    private readonly rules: MatchRules,
  ) {
    this.proposers = [...tasks];
    this.queued = new Set(tasks);
  }

  /** Lets tasks propose in turn until none has a machine left that it would rather have and that would admit it. */
  run(): void {
    // The list grows while it is worked off, and the iteration follows.
    for (const task of this.proposers) {
      this.queued.delete(task);
      this.propose(task);
    }
  }

  /** The task proposes to the machines that it prefers to its current one, until one admits it. */
  private propose(task: MatchingTask): void {
    const current = this.matches.get(task.id);
    for (const machine of this.preferenceListFor(task)) {
      if (machine === current) return;
      const assignment = this.assignmentOf(machine);
      if (this.canAdmit(assignment, task)) {
        this.leave(task, current);
        this.admit(assignment, task);
        return;
      }
      this.noteRefused(task, machine);
    }
  }

  private canAdmit(assignment: MachineAssignment, task: MatchingTask): boolean {
    const { machine } = assignment;
    const zoneCounts = this.zoneCountsOf(task.group);
    if (!this.rules.isZoneOpen(task.group, machine.zone, zoneCounts)) return false;
    if (!this.rules.isMachineOpen(task.group, machine, assignment.countOf(task.group))) return false;
    return assignment.canAdmit(task);
  }

  private leave(task: MatchingTask, current: MatchingMachine | undefined): void {
    if (current === undefined) return;
    this.assignments.get(current)!.remove(task);
    this.addToZoneCount(task, current, -1);
    this.reconsiderRefused(current);
  }

  /** Displaces tasks of lower preference where the task would not fit otherwise; they propose anew. */
  private admit(assignment: MachineAssignment, task: MatchingTask): void {
    const { machine } = assignment;
    let hasDisplaced = false;
    while (!fits(task.requested, assignment.free)) {
      const displaced = assignment.removeLowest();
      this.matches.delete(displaced.id);
      this.addToZoneCount(displaced, machine, -1);
      this.enqueue(displaced);
      hasDisplaced = true;
    }
    assignment.add(task);
    this.matches.set(task.id, machine);
    this.addToZoneCount(task, machine, 1);
    if (hasDisplaced) this.reconsiderRefused(machine);
  }

  private enqueue(task: MatchingTask): void {
    if (this.queued.has(task)) return;
    this.queued.add(task);
    this.proposers.push(task);
  }

  private noteRefused(task: MatchingTask, machine: MatchingMachine): void {
    const tasks = this.refused.get(machine);
    if (tasks === undefined) this.refused.set(machine, new Set([task]));
    else tasks.add(task);
  }

  private reconsiderRefused(machine: MatchingMachine): void {
    const tasks = this.refused.get(machine);
    if (tasks === undefined) return;
    this.refused.delete(machine);
    for (const task of tasks) this.enqueue(task);
  }

  private preferenceListFor(task: MatchingTask): readonly MatchingMachine[] {
    const known = this.preferenceLists.get(task.group);
    if (known !== undefined) return known;
    const list = preferenceListOf(task, this.machines, this.rules);
    this.preferenceLists.set(task.group, list);
    return list;
  }

  private assignmentOf(machine: MatchingMachine): MachineAssignment {
    const known = this.assignments.get(machine);
    if (known !== undefined) return known;
    const assignment = new MachineAssignment(machine);
    this.assignments.set(machine, assignment);
    return assignment;
  }

  private zoneCountsOf(group: string): Map<string, number> {
    const known = this.zoneCounts.get(group);
    if (known !== undefined) return known;
    const counts = new Map<string, number>();
    this.zoneCounts.set(group, counts);
    return counts;
  }

  private addToZoneCount(task: MatchingTask, machine: MatchingMachine, change: number): void {
    const counts = this.zoneCountsOf(task.group);
    counts.set(machine.zone, (counts.get(machine.zone) ?? 0) + change);
  }
}

/**
 * Task-optimal many-to-one stable matching by deferred acceptance: each task proposes to its machines in order; a machine
 * admits while it has free resources, and a full one lets a preferred task displace its tasks of lowest preference, which
 * go on to their next choice. Tasks differ in size, so after a displacement or a departure a task that was refused before
 * may fit: it is reconsidered, without which pairs could remain that would both prefer each other. All machines order tasks
 * alike, so each reconsideration settles the most preferred task that it concerns, and the proposals end.
 *
 * @returns the machine of each matched task, by task id; tasks without an entry found none.
 */
export function match(
  tasks: readonly MatchingTask[],
  machines: readonly MatchingMachine[],
  rules: MatchRules,
): Map<string, MatchingMachine> {
  const matching = new StableMatching(tasks, machines, rules);
  matching.run();
  return matching.matches;
}

/** Stable matching of tasks to machines, as a pure function; callers pass the rules on what is allowed and preferred. */
import { fits, type Resources, subtractResources } from '../../domain/resources.js';

/** A task to be matched. Tasks of one `group` (job) are identical and share one preference list. */
export interface MatchingTask {
  id: string;
  group: string;
  /** What the task uses: a share of its machine's usage in proportion to its request, or its request if that usage is unknown. */
  usage: Resources;
  /** The task's request: the most that it may use. */
  requested: Resources;
}

/** A machine with the resources that are free before the matching. */
export interface MatchingMachine {
  id: string;
  zone: string;
  free: Resources;
}

/** The caller's rules for a group and a machine. All methods must be pure during one matching. */
export interface MatchRules {
  /** Whether the machine may run tasks of the group at all (type, zone, spot, health). */
  isAllowed(group: string, machine: MatchingMachine): boolean;
  /** Whether the zone can take one more task of the group; `matchedPerZone` counts the tasks matched so far. */
  isZoneOpen(group: string, zone: string, matchedPerZone: ReadonlyMap<string, number>): boolean;
  /** Extension: whether the machine can take one more task of the group; `matchedCount` tasks are matched to it so far. */
  isMachineOpen(group: string, machine: MatchingMachine, matchedCount: number): boolean;
  /** Extension: machines of a lower tier, such as those with the image cached, are preferred regardless of distance. */
  tierOf(group: string, machine: MatchingMachine): number;
}

/** Euclidean distance between a task's usage and a machine's free resources, in CPUs and GB of memory. */
const distanceBetween = (usage: Resources, free: Resources): number =>
  Math.hypot(free.cpus - usage.cpus, free.memoryGb - usage.memoryGb);

/** The machines that the task's group may run on, most preferred first: by tier, then by distance. */
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

/** Whether machines prefer task `a` to task `b`: by higher CPU usage, then by id, so that the order is strict. */
export const isPreferredOver = (a: MatchingTask, b: MatchingTask): boolean =>
  a.usage.cpus > b.usage.cpus || (a.usage.cpus === b.usage.cpus && a.id < b.id);

/** A machine with the tasks matched to it so far, the most preferred first, and the resources that they leave free. */
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

  /** Whether the task would fit if all matched tasks of lower preference were displaced. */
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

/** One run of the matching: the tasks that still have to propose, and the matches so far. */
class StableMatching {
  readonly matches = new Map<string, MatchingMachine>();
  private readonly preferenceLists = new Map<string, MatchingMachine[]>();
  /** Created when a task first proposes to the machine: a few tasks propose only to a few of hundreds of machines. */
  private readonly assignments = new Map<MatchingMachine, MachineAssignment>();
  /** The tasks that each machine has rejected, to be reconsidered when a matched task leaves the machine. */
  private readonly rejectedTasks = new Map<MatchingMachine, Set<MatchingTask>>();
  /** Number of matched tasks by group and zone. */
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

  /** Lets tasks propose in turn until no task is admitted by a machine that it prefers to its current one. */
  run(): void {
    // The array grows during the loop, and the iteration includes the added tasks.
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
        this.unassign(task, current);
        this.admit(assignment, task);
        return;
      }
      this.recordRejection(task, machine);
    }
  }

  private canAdmit(assignment: MachineAssignment, task: MatchingTask): boolean {
    const { machine } = assignment;
    const zoneCounts = this.zoneCountsOf(task.group);
    if (!this.rules.isZoneOpen(task.group, machine.zone, zoneCounts)) return false;
    if (!this.rules.isMachineOpen(task.group, machine, assignment.countOf(task.group))) return false;
    return assignment.canAdmit(task);
  }

  private unassign(task: MatchingTask, current: MatchingMachine | undefined): void {
    if (current === undefined) return;
    this.assignments.get(current)!.remove(task);
    this.addToZoneCount(task, current, -1);
    this.reconsiderRejected(current);
  }

  /** Displaces tasks of lower preference if the task would not fit otherwise; they propose again. */
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
    if (hasDisplaced) this.reconsiderRejected(machine);
  }

  private enqueue(task: MatchingTask): void {
    if (this.queued.has(task)) return;
    this.queued.add(task);
    this.proposers.push(task);
  }

  private recordRejection(task: MatchingTask, machine: MatchingMachine): void {
    const tasks = this.rejectedTasks.get(machine);
    if (tasks === undefined) this.rejectedTasks.set(machine, new Set([task]));
    else tasks.add(task);
  }

  private reconsiderRejected(machine: MatchingMachine): void {
    const tasks = this.rejectedTasks.get(machine);
    if (tasks === undefined) return;
    this.rejectedTasks.delete(machine);
    for (const task of tasks) this.enqueue(task);
  }

  private preferenceListFor(task: MatchingTask): readonly MatchingMachine[] {
    const existing = this.preferenceLists.get(task.group);
    if (existing !== undefined) return existing;
    const list = preferenceListOf(task, this.machines, this.rules);
    this.preferenceLists.set(task.group, list);
    return list;
  }

  private assignmentOf(machine: MatchingMachine): MachineAssignment {
    const existing = this.assignments.get(machine);
    if (existing !== undefined) return existing;
    const assignment = new MachineAssignment(machine);
    this.assignments.set(machine, assignment);
    return assignment;
  }

  private zoneCountsOf(group: string): Map<string, number> {
    const existing = this.zoneCounts.get(group);
    if (existing !== undefined) return existing;
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
 * Task-optimal many-to-one stable matching by deferred acceptance. Each task proposes to the machines of its preference list in
 * order. A machine admits tasks while it has free resources; when it is full, a preferred task displaces the tasks of lowest
 * preference, which propose to their next choice. Tasks differ in size, so a rejected task may fit after a displacement or a
 * departure. It is then reconsidered: otherwise a blocking pair could remain, which prefer each other to their matches.
 * All machines order tasks alike, so each reconsideration settles the most preferred task that it concerns, and the proposals
 * terminate.
 *
 * @returns the machine of each matched task, by task id; unmatched tasks have no entry.
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

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

/** A machine with the resources that its matched tasks leave free, and the number of these tasks by group. */
interface MachineAssignment {
  free: Resources;
  countByGroup: Map<string, number>;
}

/** How far a group has gone through its preference list. */
interface GroupProgress {
  preferences: readonly MatchingMachine[];
  /** Index of the first machine that has not rejected a task of the group. */
  position: number;
  /** Number of matched tasks by zone. */
  countByZone: Map<string, number>;
}

/**
 * Task-optimal many-to-one stable matching. All machines order tasks alike, so no task would ever be displaced if the tasks
 * proposed in that order: this is deferred acceptance with the proposals in the order of the machines' preference. Each task
 * is matched to the first machine of its preference list that has room for it. Free resources and open zones only shrink, so
 * a machine that has rejected one task of a group rejects all later ones of the group.
 */
export class StableMatching {
  /** The machine of each matched task, by task id; unmatched tasks have no entry. */
  readonly matches = new Map<string, MatchingMachine>();
  /** The tasks in the order in which they must be passed to `place`. */
  readonly tasks: readonly MatchingTask[];
  private readonly groups = new Map<string, GroupProgress>();
  private readonly assignments = new Map<MatchingMachine, MachineAssignment>();

  constructor(
    tasks: readonly MatchingTask[],
    private readonly machines: readonly MatchingMachine[],
    private readonly rules: MatchRules,
  ) {
    this.tasks = [...tasks].sort((a, b) => (isPreferredOver(a, b) ? -1 : 1));
  }

  /** Matches the next task. */
  place(task: MatchingTask): void {
    const progress = this.progressOf(task);
    const { preferences } = progress;
    while (progress.position < preferences.length) {
      const machine = preferences[progress.position]!;
      if (this.canAdmit(machine, task, progress)) {
        this.admit(machine, task, progress);
        return;
      }
      progress.position++;
    }
  }

  private canAdmit(machine: MatchingMachine, { group, requested }: MatchingTask, progress: GroupProgress): boolean {
    if (!this.rules.isZoneOpen(group, machine.zone, progress.countByZone)) return false;
    const assignment = this.assignments.get(machine);
    if (!this.rules.isMachineOpen(group, machine, assignment?.countByGroup.get(group) ?? 0)) return false;
    return fits(requested, assignment?.free ?? machine.free);
  }

  private admit(machine: MatchingMachine, { id, group, requested }: MatchingTask, progress: GroupProgress): void {
    const { free, countByGroup } = this.assignmentOf(machine);
    subtractResources(free, requested);
    countByGroup.set(group, (countByGroup.get(group) ?? 0) + 1);
    progress.countByZone.set(machine.zone, (progress.countByZone.get(machine.zone) ?? 0) + 1);
    this.matches.set(id, machine);
  }

  private progressOf(task: MatchingTask): GroupProgress {
    const existing = this.groups.get(task.group);
    if (existing !== undefined) return existing;
    const preferences = preferenceListOf(task, this.machines, this.rules);
    const progress: GroupProgress = { preferences, position: 0, countByZone: new Map() };
    this.groups.set(task.group, progress);
    return progress;
  }

  private assignmentOf(machine: MatchingMachine): MachineAssignment {
    const existing = this.assignments.get(machine);
    if (existing !== undefined) return existing;
    const assignment: MachineAssignment = { free: { ...machine.free }, countByGroup: new Map() };
    this.assignments.set(machine, assignment);
    return assignment;
  }
}

/** Matches all tasks at once; returns the machine of each matched task, by task id. */
export function match(
  tasks: readonly MatchingTask[],
  machines: readonly MatchingMachine[],
  rules: MatchRules,
): Map<string, MatchingMachine> {
  const matching = new StableMatching(tasks, machines, rules);
  for (const task of matching.tasks) matching.place(task);
  return matching.matches;
}

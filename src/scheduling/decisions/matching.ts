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
  isAllowed(group: string, host: MatchingMachine): boolean;
  /** May the group have one more task in the zone, beside `taken` matched so far? */
  zoneAllows(group: string, zone: string, taken: ReadonlyMap<string, number>): boolean;
  /** Extension: may the machine have one more task of the group, beside `taken` matched so far? */
  machineAllows(group: string, host: MatchingMachine, taken: number): boolean;
  /** Extension: what is taken off a distance, e.g. for an image that is there already. Distances stay in order within. */
  tier(group: string, host: MatchingMachine): number;
}

const EPS = 1e-6;

/** Euclidean distance from a task's use to a machine's free CPU and memory. */
export const distance = (usage: Resources, free: Resources): number =>
  Math.hypot(free.cpus - usage.cpus, free.memoryGb - usage.memoryGb);

/** The machines that a group may go to, nearest first. */
export function preferences(
  seeker: MatchingTask,
  hosts: readonly MatchingMachine[],
  rules: MatchRules,
): MatchingMachine[] {
  const ranked: { host: MatchingMachine; tier: number; far: number }[] = [];
  for (const host of hosts) {
    if (!holds(host.free, seeker.requested) || !rules.isAllowed(seeker.group, host)) continue;
    ranked.push({ host, tier: rules.tier(seeker.group, host), far: distance(seeker.usage, host.free) });
  }
  ranked.sort((a, b) => a.tier - b.tier || a.far - b.far || (a.host.id < b.host.id ? -1 : 1));
  return ranked.map((each) => each.host);
}

const holds = (room: Resources, task: Resources): boolean =>
  task.cpus <= room.cpus + EPS && task.memoryGb <= room.memoryGb + EPS && task.gpus <= room.gpus + EPS;

/** Does the machine rank task `a` before task `b`? Higher CPU use first; names decide ties, so that the order is strict. */
export const ranksBefore = (a: MatchingTask, b: MatchingTask): boolean =>
  a.usage.cpus > b.usage.cpus || (a.usage.cpus === b.usage.cpus && a.id < b.id);

class Matched {
  readonly tasks: MatchingTask[] = [];
  readonly left: Resources;
  constructor(readonly host: MatchingMachine) {
    this.left = { ...host.free };
  }

  add(task: MatchingTask): void {
    let at = this.tasks.length;
    while (at > 0 && ranksBefore(task, this.tasks[at - 1]!)) at--;
    this.tasks.splice(at, 0, task);
    this.shift(task, -1);
  }

  removeLowest(): MatchingTask {
    const task = this.tasks.pop()!;
    this.shift(task, 1);
    return task;
  }

  remove(task: MatchingTask): void {
    this.tasks.splice(this.tasks.indexOf(task), 1);
    this.shift(task, 1);
  }

  private shift(task: MatchingTask, sign: 1 | -1): void {
    this.left.cpus += sign * task.requested.cpus;
    this.left.memoryGb += sign * task.requested.memoryGb;
    this.left.gpus += sign * task.requested.gpus;
  }

  countOf(group: string): number {
    let count = 0;
    for (const task of this.tasks) if (task.group === group) count++;
    return count;
  }

  /** The room there would be without the tasks that rank below this one. */
  roomFor(task: MatchingTask): boolean {
    if (holds(this.left, task.requested)) return true;
    const room = { ...this.left };
    for (let at = this.tasks.length - 1; at >= 0 && !holds(room, task.requested); at--) {
      const other = this.tasks[at]!;
      if (!ranksBefore(task, other)) return false;
      room.cpus += other.requested.cpus;
      room.memoryGb += other.requested.memoryGb;
      room.gpus += other.requested.gpus;
    }
    return holds(room, task.requested);
  }
}

/**
 * Task-optimal many-to-one stable matching by deferred acceptance: each task proposes to its machines in order; a
 * machine admits while room is left, and a full one lets a higher-ranked task displace its lowest matched tasks, which
 * go on to their next choice. Tasks differ in size, so a displacement or a departure may leave room that a task passed
 * over before would now have: it gets another look, without which pairs could remain that would rather have each other.
 * All machines rank tasks alike, so each look settles the highest-ranked task that it concerns, and the rounds end.
 */
export function match(
  seekers: readonly MatchingTask[],
  hosts: readonly MatchingMachine[],
  rules: MatchRules,
): Map<string, MatchingMachine> {
  const lists = new Map<string, MatchingMachine[]>();
  // Made when a task looks at the machine: a few tasks among hundreds of machines see only the first ones.
  const places = new Map<MatchingMachine, Matched>();
  const passed = new Map<MatchingMachine, Set<MatchingTask>>();
  const zones = new Map<string, Map<string, number>>();
  const result = new Map<string, MatchingMachine>();
  const queue = [...seekers];
  const queued = new Set(seekers);
  const zonesOf = (group: string) => {
    let taken = zones.get(group);
    if (taken === undefined) zones.set(group, (taken = new Map<string, number>()));
    return taken;
  };
  const countZone = (task: MatchingTask, host: MatchingMachine, by: number) => {
    const taken = zonesOf(task.group);
    taken.set(host.zone, (taken.get(host.zone) ?? 0) + by);
  };
  const enqueue = (task: MatchingTask) => {
    if (queued.has(task)) return;
    queued.add(task);
    queue.push(task);
  };
  const pass = (task: MatchingTask, host: MatchingMachine) => {
    const waiting = passed.get(host);
    if (waiting === undefined) passed.set(host, new Set([task]));
    else waiting.add(task);
  };
  const lookAgain = (host: MatchingMachine) => {
    const waiting = passed.get(host) ?? [];
    passed.delete(host);
    for (const task of waiting) enqueue(task);
  };
  for (let head = 0; head < queue.length; head++) {
    const task = queue[head]!;
    queued.delete(task);
    let list = lists.get(task.group);
    if (list === undefined) lists.set(task.group, (list = preferences(task, hosts, rules)));
    const current = result.get(task.id);
    for (const host of list) {
      if (host === current) break;
      let place = places.get(host);
      if (place === undefined) places.set(host, (place = new Matched(host)));
      const zoneOpen = rules.zoneAllows(task.group, host.zone, zonesOf(task.group));
      const hostOpen = rules.machineAllows(task.group, host, place.countOf(task.group));
      if (!zoneOpen || !hostOpen || !place.roomFor(task)) {
        pass(task, host);
        continue;
      }
      if (current !== undefined) {
        places.get(current)!.remove(task);
        countZone(task, current, -1);
        lookAgain(current);
      }
      let displaced = false;
      while (!holds(place.left, task.requested)) {
        const out = place.removeLowest();
        result.delete(out.id);
        countZone(out, host, -1);
        enqueue(out);
        displaced = true;
      }
      place.add(task);
      result.set(task.id, host);
      countZone(task, host, 1);
      if (displaced) lookAgain(host);
      break;
    }
  }
  return result;
}

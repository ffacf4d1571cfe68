import type { Resources } from '../../records/records.js';

/** A task looking for a machine. Tasks of one `group` (job) are alike and share one preference list. */
export interface Seeker {
  id: string;
  group: string;
  /** What the task uses: its machine's used room split by request, or its request where nothing is known. */
  use: Resources;
  /** The most it may use: its request. */
  peak: Resources;
}

export interface Host {
  id: string;
  zone: string;
  free: Resources;
}

export interface MatchRules {
  /** Is the machine open to the group at all (type, zone, kind, health)? */
  allowed(group: string, host: Host): boolean;
  /** May the group have one more task in the zone, beside `taken` matched so far? */
  zoneAllows(group: string, zone: string, taken: ReadonlyMap<string, number>): boolean;
  /** Extension: may the machine have one more task of the group, beside `taken` matched so far? */
  hostAllows(group: string, host: Host, taken: number): boolean;
  /** Extension: what is taken off a distance, e.g. for an image that is there already. Distances stay in order within. */
  tier(group: string, host: Host): number;
}

const EPS = 1e-6;

/** Euclidean distance from a task's use to a machine's free CPU and memory. */
export const distance = (use: Resources, free: Resources): number =>
  Math.hypot(free.cpus - use.cpus, free.memoryGb - use.memoryGb);

/** The machines that a group may go to, nearest first. */
export function preferences(seeker: Seeker, hosts: readonly Host[], rules: MatchRules): Host[] {
  const ranked: { host: Host; tier: number; far: number }[] = [];
  for (const host of hosts) {
    if (!holds(host.free, seeker.peak) || !rules.allowed(seeker.group, host)) continue;
    ranked.push({ host, tier: rules.tier(seeker.group, host), far: distance(seeker.use, host.free) });
  }
  ranked.sort((a, b) => a.tier - b.tier || a.far - b.far || (a.host.id < b.host.id ? -1 : 1));
  return ranked.map((each) => each.host);
}

const holds = (room: Resources, task: Resources): boolean =>
  task.cpus <= room.cpus + EPS && task.memoryGb <= room.memoryGb + EPS && task.gpus <= room.gpus + EPS;

/** Does the machine rank task `a` before task `b`? Higher CPU use first; names decide ties, so that the order is strict. */
export const ranksBefore = (a: Seeker, b: Seeker): boolean =>
  a.use.cpus > b.use.cpus || (a.use.cpus === b.use.cpus && a.id < b.id);

class Matched {
  readonly tasks: Seeker[] = [];
  readonly left: Resources;
  constructor(readonly host: Host) {
    this.left = { ...host.free };
  }

  add(task: Seeker): void {
    let at = this.tasks.length;
    while (at > 0 && ranksBefore(task, this.tasks[at - 1]!)) at--;
    this.tasks.splice(at, 0, task);
    this.shift(task, -1);
  }

  removeLowest(): Seeker {
    const task = this.tasks.pop()!;
    this.shift(task, 1);
    return task;
  }

  remove(task: Seeker): void {
    this.tasks.splice(this.tasks.indexOf(task), 1);
    this.shift(task, 1);
  }

  private shift(task: Seeker, sign: 1 | -1): void {
    this.left.cpus += sign * task.peak.cpus;
    this.left.memoryGb += sign * task.peak.memoryGb;
    this.left.gpus += sign * task.peak.gpus;
  }

  countOf(group: string): number {
    let count = 0;
    for (const task of this.tasks) if (task.group === group) count++;
    return count;
  }

  /** The room there would be without the tasks that rank below this one. */
  roomFor(task: Seeker): boolean {
    if (holds(this.left, task.peak)) return true;
    const room = { ...this.left };
    for (let at = this.tasks.length - 1; at >= 0 && !holds(room, task.peak); at--) {
      const other = this.tasks[at]!;
      if (!ranksBefore(task, other)) return false;
      room.cpus += other.peak.cpus;
      room.memoryGb += other.peak.memoryGb;
      room.gpus += other.peak.gpus;
    }
    return holds(room, task.peak);
  }
}

/**
 * Task-optimal many-to-one stable matching by deferred acceptance: each task proposes to its machines in order; a
 * machine admits while room is left, and a full one lets a higher-ranked task displace its lowest matched tasks, which
 * go on to their next choice. Tasks differ in size, so a displacement or a departure may leave room that a task passed
 * over before would now have: it gets another look, without which pairs could remain that would rather have each other.
 * All machines rank tasks alike, so each look settles the highest-ranked task that it concerns, and the rounds end.
 */
export function match(seekers: readonly Seeker[], hosts: readonly Host[], rules: MatchRules): Map<string, Host> {
  const lists = new Map<string, Host[]>();
  // Made when a task looks at the machine: a few tasks among hundreds of machines see only the first ones.
  const places = new Map<Host, Matched>();
  const passed = new Map<Host, Set<Seeker>>();
  const zones = new Map<string, Map<string, number>>();
  const result = new Map<string, Host>();
  const queue = [...seekers];
  const queued = new Set(seekers);
  const zonesOf = (group: string) => {
    let taken = zones.get(group);
    if (taken === undefined) zones.set(group, (taken = new Map<string, number>()));
    return taken;
  };
  const countZone = (task: Seeker, host: Host, by: number) => {
    const taken = zonesOf(task.group);
    taken.set(host.zone, (taken.get(host.zone) ?? 0) + by);
  };
  const enqueue = (task: Seeker) => {
    if (queued.has(task)) return;
    queued.add(task);
    queue.push(task);
  };
  const pass = (task: Seeker, host: Host) => {
    const waiting = passed.get(host);
    if (waiting === undefined) passed.set(host, new Set([task]));
    else waiting.add(task);
  };
  const lookAgain = (host: Host) => {
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
      const hostOpen = rules.hostAllows(task.group, host, place.countOf(task.group));
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
      while (!holds(place.left, task.peak)) {
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

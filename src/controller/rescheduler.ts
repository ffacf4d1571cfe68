import type { Tuning } from '../config/settings.js';
import type { Book, Place } from '../ledger/book.js';
import { stopShard } from '../ledger/edits.js';
import { shardName, type JobSpec } from '../ledger/records.js';
import { allowedOn, roomOf, takeRoom, zoneAllows, zonesOf } from '../ledger/rules.js';
import type { Clock } from '../net/clock.js';
import type { Random } from '../net/random.js';
import { Priority } from '../net/token-bucket.js';
import type { Happiness } from '../placement/happiness.js';
import { match, type Host, type Seeker } from '../placement/matching.js';
import type { Committer } from '../state/committer.js';
import { partitionRole, type Claims } from './claims.js';
import type { Fleet } from './fleet.js';
import type { Log } from './log.js';
import type { Planner } from './planner.js';

interface Running {
  name: string;
  place: Place;
  spec: JobSpec;
}

/** The design's heart: tests the happiness of each part's service tasks and re-matches when some are unhappy. */
export class Rescheduler {
  constructor(
    private readonly tuning: Tuning,
    private readonly claims: Claims,
    private readonly book: Book,
    private readonly fleet: Fleet,
    private readonly planner: Planner,
    private readonly committer: Committer,
    private readonly happiness: Happiness,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Log,
  ) {}

  /** Checks are jittered, so that the controllers' re-matches do not start in one tick. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(this.random.jitter(this.tuning.check_s * 1000), signal);
      if (signal.aborted || !this.claims.inTouch || this.othersComeFirst()) continue;
      for (const partition of this.claims.ownedPartitions()) this.round(partition);
    }
  }

  /**
   * More service tasks without any place than a round would move: they come first. After an outage or a lost zone all that
   * have died count as unhappy, and matching a whole partition anew takes the time that the starts and the reports need.
   */
  private othersComeFirst(): boolean {
    let waiting = 0;
    for (const { record, placed } of this.book.jobs.values()) {
      if (record.spec.Shape === 'service' && record.phase === 'active') waiting += record.spec.Shards - placed;
    }
    return waiting > this.tuning.moves_per_round;
  }

  private round(partition: number): void {
    const now = this.clock.now();
    const machines = [...this.fleet.all().values()].filter(
      (machine) => this.claims.partitionOf(machine.host) === partition && this.fleet.isOpen(machine),
    );
    const running: Running[] = [];
    for (const machine of machines) {
      for (const place of this.book.placesOn(machine.host)) {
        const spec = this.book.jobs.get(place.ref)?.record.spec;
        if (spec?.Shape !== 'service' || place.slot.stop !== null) continue;
        running.push({ name: shardName(place.ref, place.shard), place, spec });
      }
    }
    const unhappy = running.filter(({ name }) => {
      const happiness = this.happiness.of(name, now);
      return happiness !== undefined && happiness < this.tuning.threshold;
    });
    if (unhappy.length === 0) return;
    const target = this.rematch(running, machines);
    let moves = 0;
    const moving = new Set<string>();
    for (const { name, place } of unhappy) {
      const host = target.get(name);
      // Unmatched tasks stay put, and so do those matched to the machine they are on.
      if (host === undefined || host.id === place.slot.host) continue;
      if (moves >= this.tuning.moves_per_round || moving.has(place.ref) || !this.happiness.mayMove(name, now)) continue;
      if (this.isMoving(place.ref)) continue;
      moves++;
      moving.add(place.ref);
      this.happiness.moved(name, now);
      this.planner.prefer(name, host.id);
      this.log.info({ shard: name, from: place.slot.host, to: host.id }, 'unhappy task moves');
      void this.committer.commit('move', Priority.start, (draft) => {
        if (!this.claims.require(draft, partitionRole(partition))) return false;
        return stopShard(draft, place.ref, place.shard, place.slot.host, place.slot.attempt, 0);
      });
    }
  }

  /** Never two replicas of one service at once: one that is stopping or waiting for a place counts. */
  private isMoving(ref: string): boolean {
    const view = this.book.jobs.get(ref);
    if (view === undefined || view.placed < view.record.spec.Shards) return true;
    for (const [, slot] of view.known()) if (slot.kind === 'placed' && slot.stop !== null) return true;
    return false;
  }

  private rematch(running: readonly Running[], machines: readonly { host: string; site: string; flavor: string }[]) {
    const rooms = this.planner.rooms(this.machinesOf(machines));
    // All service tasks of the partition are matched anew, so their room counts as free.
    for (const { place, spec } of running) {
      const room = rooms.get(place.slot.host);
      if (room === undefined) continue;
      takeRoom(room, spec, -1);
    }
    const byRef = new Map(running.map(({ place, spec }) => [place.ref, spec]));
    const info = this.fleet.all();
    const outside = new Map<string, Map<string, number>>();
    for (const ref of byRef.keys()) {
      const inside = new Set(running.filter(({ place }) => place.ref === ref).map(({ place }) => place.shard));
      const others = [...this.book.jobs.get(ref)!.known()]
        .filter(([shard]) => !inside.has(shard))
        .map(([, slot]) => slot);
      outside.set(ref, zonesOf(others));
    }
    const hosts: Host[] = machines.map((m) => ({ id: m.host, site: m.site, free: rooms.get(m.host)! }));
    // Without usage data of the machine, a task's use equals its request.
    const seekers: Seeker[] = running.map(({ name, place, spec }) => ({
      id: name,
      group: place.ref,
      use: roomOf(spec),
      peak: roomOf(spec),
    }));
    return match(seekers, hosts, {
      allowed: (ref, host) => {
        const machine = info.get(host.id);
        return machine !== undefined && allowedOn(byRef.get(ref)!, machine) && !machine.failedJobs.includes(ref);
      },
      zoneAllows: (ref, site, taken) => {
        const total = new Map(outside.get(ref));
        for (const [each, count] of taken) total.set(each, (total.get(each) ?? 0) + count);
        return zoneAllows(byRef.get(ref)!, total, site);
      },
      hostAllows: () => true,
      tier: () => 0,
    });
  }

  private machinesOf(machines: readonly { host: string }[]) {
    const all = this.fleet.all();
    return machines.map((machine) => all.get(machine.host)!);
  }
}

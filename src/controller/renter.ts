import {
  FAILS_WORTH_RENTING,
  FORGET_REFUSED_MS,
  MAX_RENT_AT_ONCE,
  MAX_RESERVE_AT_ONCE,
  NO_CAPACITY_MS,
  RESERVE_SHARE,
} from '../constants.js';
import type { CloudClient, ListedMachine } from '../cloud/client.js';
import type { Settings } from '../config/settings.js';
import { lastingLimits } from '../config/state-limits.js';
import type { Book } from '../ledger/book.js';
import { hireKey, type HireRecord, type JobSpec } from '../ledger/records.js';
import { allowedOn, zoneAllows } from '../ledger/rules.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import { belowReserve, bootLimitMs, decideRentals, type Need, type Offer, type Wanted } from '../placement/renting.js';
import type { Committer } from '../state/committer.js';
import { LEADER, type Claims } from './claims.js';
import type { Fleet } from './fleet.js';
import type { Log } from './log.js';
import type { Waiting } from './placer.js';
import type { Planner } from './planner.js';

/** Rents machines for what has no place, and for the reserve, under names that are never used twice. */
export class Renter {
  private readonly noCapacity = new Map<string, number>();
  /**
   * Rentals that were refused and dropped, with the steady ms. Their records may come back by a late write of their own; only
   * under the claim that wrote them, so this node knows them all.
   */
  private readonly refused = new Map<string, number>();
  private sequence = 0;
  /** Records that one transaction may change, also after an announced change of the store's limits. */
  private readonly mostRecords: number;

  constructor(
    settings: Settings,
    private readonly claims: Claims,
    private readonly book: Book,
    private readonly fleet: Fleet,
    private readonly planner: Planner,
    private readonly committer: Committer,
    private readonly cloud: CloudClient,
    private readonly clock: Clock,
    private readonly log: Log,
    /** The cloud's list, as last read. */
    private readonly listed: () => ReadonlyMap<string, ListedMachine>,
  ) {
    this.mostRecords = lastingLimits(settings.cluster.state).transactionWrites;
  }

  /** Offers that the cloud has lately refused, with the steady ms. */
  *refusedLately(): Iterable<{ offer: string; at: number }> {
    for (const [offer, until] of this.noCapacity)
      if (until > this.clock.now()) yield { offer, at: until - NO_CAPACITY_MS };
  }

  /** A former leader was refused an offer. */
  restoreRefusal(offer: string, at: number): void {
    const until = Math.min(at, this.clock.now()) + NO_CAPACITY_MS;
    this.noCapacity.set(offer, Math.max(until, this.noCapacity.get(offer) ?? -Infinity));
  }

  /** Changes the records of rentals, one for each, so that none outgrows what the store keeps under a key. */
  private async note(hires: readonly HireRecord[], drop = false): Promise<boolean> {
    const outcome = await this.committer.commit('hires', Priority.start, (draft) => {
      if (!this.claims.require(draft, LEADER)) return false;
      for (const hire of hires) {
        if (drop) draft.drop(hireKey(hire.name));
        else draft.set(hireKey(hire.name), hire);
      }
      return true;
    });
    return outcome.kind === 'done';
  }

  /** Waiting tasks by job, with the zones that their job leaves open. */
  private needs(): Need[] {
    const byJob = new Map<string, Waiting[]>();
    for (const each of this.planner.unplaced) byJob.set(each.view.ref, [...(byJob.get(each.view.ref) ?? []), each]);
    const needs: Need[] = [];
    for (const [ref, waiting] of byJob) {
      const view = this.book.jobs.get(ref);
      if (view === undefined) continue;
      const { spec } = view.record;
      const tasks = this.tasksToRentFor(spec, waiting);
      if (tasks === 0) continue;
      const { zones } = view;
      const all = [...new Set([...this.fleet.catalog.values()].flatMap((flavor) => flavor.sites))];
      const sites = all.filter((site) => zoneAllows(spec, zones, site));
      needs.push({ spec, tasks, sites: sites.length === all.length ? [] : sites });
    }
    return needs;
  }

  /**
   * A job whose tasks fail again and again is worth no more than one machine to try on, but must have that. A gang has to be
   * whole, and what is rented for it serves its next tries as well.
   */
  private tasksToRentFor(spec: JobSpec, waiting: readonly Waiting[]): number {
    const failing = waiting.some((each) => each.slot.fails > FAILS_WORTH_RENTING);
    if (!failing || spec.Shape === 'ensemble') return waiting.length;
    return this.fleet.open().some((machine) => allowedOn(spec, machine)) ? 0 : 1;
  }

  private offers(): Offer[] {
    const now = this.clock.now();
    const offers: Offer[] = [];
    for (const flavor of this.fleet.catalog.values()) {
      for (const site of flavor.sites) {
        for (const reclaimable of [false, true]) {
          const offer = { flavor, site, reclaimable };
          if ((this.noCapacity.get(offerName(offer)) ?? -Infinity) > now) continue;
          if (reclaimable && flavor.lowPrice <= 0) continue;
          offers.push(offer);
        }
      }
    }
    return offers;
  }

  /** True: something was refused or left for another transaction, so that another look may find more. */
  async round(): Promise<boolean> {
    const hires = [...this.book.hires.values()];
    const wall = this.clock.wall();
    const heard = this.fleet.all();
    // First the requests of a former leader, or of a lost answer: the same name gets the same machines.
    const open = hires.filter((hire) => hire.hosts === null);
    if (open.length > 0) {
      const back = open.filter((hire) => this.refused.has(hire.name)).slice(0, this.mostRecords);
      if (back.length > 0) await this.note(back, true);
      await Promise.all(open.filter((hire) => !this.refused.has(hire.name)).map((hire) => this.ask(hire)));
      return true;
    }
    const now = this.clock.now();
    for (const [name, at] of this.refused) if (now - at > FORGET_REFUSED_MS) this.refused.delete(name);
    const over = (hire: HireRecord) =>
      hire.hosts!.every((host) => heard.has(host) || this.fleet.gone.has(host)) ||
      wall - hire.at > 2 * bootLimitMs(this.fleet.catalog.get(hire.flavor));
    const most = this.mostRecords;
    const past = hires.filter(over).slice(0, most);
    if (past.length > 0) await this.note(past, true);
    const coming: Offer[] = [];
    const counted = new Set<string>();
    const expect = (host: string, flavorName: string, site: string, reclaimable: boolean, ageMs: number) => {
      const flavor = this.fleet.catalog.get(flavorName);
      // One that takes far longer than others is not counted on, but kept a while in case it comes.
      if (flavor === undefined || counted.has(host) || heard.has(host) || this.fleet.gone.has(host)) return;
      if (ageMs > flavor.bootS * 1000 * 2) return;
      counted.add(host);
      coming.push({ flavor, site, reclaimable });
    };
    for (const hire of hires) {
      for (const host of hire.hosts ?? []) expect(host, hire.flavor, hire.site, hire.reclaimable, wall - hire.at);
    }
    for (const machine of this.listed().values()) {
      if (machine.phase === 'failed') continue;
      expect(machine.host, machine.flavor, machine.site, machine.reclaimable, machine.heldS * 1000);
    }
    const wanted = decideRentals(this.needs(), this.offers(), coming, MAX_RENT_AT_ONCE);
    const reserve = wanted.length === 0 ? this.reserve(coming) : undefined;
    if (reserve !== undefined) wanted.push(reserve);
    const held = this.claims.holding(LEADER);
    if (held === undefined || wanted.length === 0) return false;
    const records = wanted.slice(0, most).map((offer): HireRecord => ({
      // The leader's fence is unique in the store, so no other node or life ever makes this name.
      name: `r-${held.fence}-${++this.sequence}`,
      flavor: offer.flavor.sku,
      site: offer.site,
      reclaimable: offer.reclaimable,
      count: offer.count,
      at: wall,
      hosts: null,
    }));
    // All wanted at one moment share one transaction.
    const noted = await this.note(records);
    if (!noted) return false;
    const full = await Promise.all(records.map((record) => this.ask(record)));
    return full.includes(false) || wanted.length > most;
  }

  /** More machines where free room has become scarce, before tasks have to wait for them. */
  private reserve(coming: readonly Offer[]): Wanted | undefined {
    const open = this.fleet.open();
    const rooms = this.planner.rooms(open);
    const offers = this.offers();
    const kinds = new Map<string, { free: number; total: number }>();
    const kindOf = (sku: string) => ((this.fleet.catalog.get(sku)?.cards ?? 0) > 0 ? 'cards' : 'plain');
    for (const machine of open) {
      const flavor = this.fleet.catalog.get(machine.flavor)!;
      const kind = kinds.get(kindOf(flavor.sku)) ?? { free: 0, total: 0 };
      kind.free += Math.max(0, rooms.get(machine.host)?.cpus ?? 0);
      kind.total += flavor.cpus;
      kinds.set(kindOf(flavor.sku), kind);
    }
    for (const { flavor } of coming) {
      const kind = kinds.get(kindOf(flavor.sku));
      if (kind !== undefined) kind.free += flavor.cpus;
    }
    for (const [name, kind] of kinds) {
      if (!belowReserve(kind.free, kind.total)) continue;
      const fit = offers.filter((offer) => kindOf(offer.flavor.sku) === name && !offer.reclaimable);
      const spot = offers.filter((offer) => kindOf(offer.flavor.sku) === name && offer.reclaimable);
      const count = (site: string) => open.filter((machine) => machine.site === site).length;
      const best = [...fit].sort(
        (a, b) => a.flavor.hourly / a.flavor.cpus - b.flavor.hourly / b.flavor.cpus || count(a.site) - count(b.site),
      )[0];
      const offer = best ?? spot[0];
      if (offer === undefined) continue;
      const missing = Math.ceil((kind.total * RESERVE_SHARE - kind.free) / offer.flavor.cpus);
      return { ...offer, count: Math.min(MAX_RESERVE_AT_ONCE, Math.max(1, missing)) };
    }
    return undefined;
  }

  /** True: rented in full. */
  private async ask(record: HireRecord): Promise<boolean> {
    const result = await this.cloud.rent(record);
    const flavor = this.fleet.catalog.get(record.flavor);
    this.log.info({ hire: record.name, flavor: record.flavor, site: record.site, result }, 'rental');
    if (result.kind === 'rented') {
      if (result.hosts.length < record.count && flavor !== undefined) {
        this.noCapacity.set(offerName({ ...record, flavor }), this.clock.now() + NO_CAPACITY_MS);
      }
      await this.note([{ ...record, hosts: result.hosts }]);
    } else if (result.kind === 'no_capacity' || result.kind === 'malformed') {
      if (flavor !== undefined) {
        this.noCapacity.set(offerName({ ...record, flavor }), this.clock.now() + NO_CAPACITY_MS);
      }
      this.refused.set(record.name, this.clock.now());
      await this.note([record], true);
    } else {
      // Not answered, or refused for now: the same name is sent again, so nothing is rented twice.
      await this.clock.sleep(1000);
    }
    return result.kind === 'rented' && result.hosts.length === record.count;
  }
}

const offerName = (offer: { flavor: { sku: string }; site: string; reclaimable: boolean }): string =>
  `${offer.flavor.sku} ${offer.site} ${offer.reclaimable}`;

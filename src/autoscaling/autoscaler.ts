import {
  FAILURES_WORTH_SCALING_OUT,
  REFUSED_RENTAL_KEPT_MS,
  MAX_SCALE_OUT_AT_ONCE,
  MAX_RESERVE_AT_ONCE,
  NO_CAPACITY_MS,
  RESERVE_SHARE,
} from '../constants/autoscaling.js';
import type { CloudClient } from '../cloud/cloud-client.js';
import type { ListedMachine } from '../cloud/cloud-wire-codec.js';
import type { ClusterState } from '../records/cluster-state.js';
import { rentalKey } from '../records/record-keys.js';
import type { JobSpec } from '../domain/job.js';
import type { RentalRecord } from '../records/records.js';
import { isAllowedOn, isZoneAllowed } from '../records/placement-rules.js';
import type { Settings } from '../domain/settings.js';
import { encodeRentalRecord } from '../records/record-codecs.js';
import {
  isBelowReserve,
  bootLimitMs,
  type CapacityNeed,
  decideScaleOut,
  type MachineOffer,
  type WantedMachines,
} from './scale-out-decision.js';
import { CLUSTER_LEADER_ROLE } from '../domain/role.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { Log } from '../logging/log.js';
import type { PendingTask } from '../scheduling/task-placer.js';
import type { PlacementPlanner } from '../scheduling/placement-planner.js';

/** Rents machines for what has no place, and for the reserve, under names that are never used twice. */
export class Autoscaler {
  private readonly noCapacityUntilMs = new Map<string, number>();
  /**
   * Rentals that were refused and dropped, with the steady ms. Their records may come back by a late write of their own; only
   * under the claim that wrote them, so this node knows them all.
   */
  private readonly refusedAtMs = new Map<string, number>();
  private sequence = 0;
  /** Records that one transaction may change, also after an announced change of the store's limits. */
  private readonly maxRecordsPerTransaction: number;

  constructor(
    settings: Settings,
    private readonly leadership: RoleLeadership,
    private readonly clusterState: ClusterState,
    private readonly inventory: MachineInventory,
    private readonly planner: PlacementPlanner,
    private readonly transactions: TransactionBatcher,
    private readonly cloud: CloudClient,
    private readonly clock: Clock,
    private readonly log: Log,
    /** The cloud's list, as last read. */
    private readonly listed: () => ReadonlyMap<string, ListedMachine>,
  ) {
    this.maxRecordsPerTransaction = settings.cluster.store.lasting.transactionWrites;
  }

  /** Offers that the cloud has lately refused, with the steady ms. */
  *recentlyRefusedOffers(): Iterable<{ offer: string; at: number }> {
    for (const [offer, until] of this.noCapacityUntilMs)
      if (until > this.clock.now()) yield { offer, at: until - NO_CAPACITY_MS };
  }

  /** A former leader was refused an offer. */
  restoreRefusal(offer: string, at: number): void {
    const until = Math.min(at, this.clock.now()) + NO_CAPACITY_MS;
    this.noCapacityUntilMs.set(offer, Math.max(until, this.noCapacityUntilMs.get(offer) ?? -Infinity));
  }

  /** Changes the records of rentals, one for each, so that none outgrows what the store keeps under a key. */
  private async writeRentals(rentals: readonly RentalRecord[], drop = false): Promise<boolean> {
    const outcome = await this.transactions.commit('hires', Priority.start, (draft) => {
      if (!this.leadership.requireLeadership(draft, CLUSTER_LEADER_ROLE)) return false;
      for (const rental of rentals) {
        if (drop) draft.delete(rentalKey(rental.rentalId));
        else draft.set(rentalKey(rental.rentalId), encodeRentalRecord(rental));
      }
      return true;
    });
    return outcome.kind === 'done';
  }

  /** Waiting tasks by job, with the zones that their job leaves open. */
  private unmetNeeds(): CapacityNeed[] {
    const byJob = new Map<string, PendingTask[]>();
    for (const each of this.planner.unplacedTasks)
      byJob.set(each.view.jobId, [...(byJob.get(each.view.jobId) ?? []), each]);
    const needs: CapacityNeed[] = [];
    for (const [jobId, waiting] of byJob) {
      const view = this.clusterState.jobs.get(jobId);
      if (view === undefined) continue;
      const { spec } = view.record;
      const tasks = this.tasksToScaleOutFor(spec, waiting);
      if (tasks === 0) continue;
      const { tasksPerZone } = view;
      const all = [...new Set([...this.inventory.catalog.values()].flatMap((machineType) => machineType.zones))];
      const zones = all.filter((zone) => isZoneAllowed(spec, tasksPerZone, zone));
      needs.push({ spec, tasks, zones: zones.length === all.length ? [] : zones });
    }
    return needs;
  }

  /**
   * A job whose tasks fail again and again is worth no more than one machine to try on, but must have that. A gang has to be
   * whole, and what is rented for it serves its next tries as well.
   */
  private tasksToScaleOutFor(spec: JobSpec, waiting: readonly PendingTask[]): number {
    const failing = waiting.some((each) => each.placement.failures > FAILURES_WORTH_SCALING_OUT);
    if (!failing || spec.kind === 'gang') return waiting.length;
    return this.inventory.openMachines().some((machine) => isAllowedOn(spec, machine)) ? 0 : 1;
  }

  private availableOffers(): MachineOffer[] {
    const now = this.clock.now();
    const offers: MachineOffer[] = [];
    for (const machineType of this.inventory.catalog.values()) {
      for (const zone of machineType.zones) {
        for (const isSpot of [false, true]) {
          const offer = { machineType, zone, isSpot };
          if ((this.noCapacityUntilMs.get(offerName(offer)) ?? -Infinity) > now) continue;
          if (isSpot && machineType.spotHourlyPrice <= 0) continue;
          offers.push(offer);
        }
      }
    }
    return offers;
  }

  /** True: something was refused or left for another transaction, so that another look may find more. */
  async round(): Promise<boolean> {
    const rentals = [...this.clusterState.rentals.values()];
    const wall = this.clock.wall();
    const running = this.inventory.machines();
    // First the requests of a former leader, or of a lost answer: the same name gets the same machines.
    const open = rentals.filter((rental) => rental.machineIds === null);
    if (open.length > 0) {
      const back = open
        .filter((rental) => this.refusedAtMs.has(rental.rentalId))
        .slice(0, this.maxRecordsPerTransaction);
      if (back.length > 0) await this.writeRentals(back, true);
      await Promise.all(
        open.filter((rental) => !this.refusedAtMs.has(rental.rentalId)).map((rental) => this.requestMachines(rental)),
      );
      return true;
    }
    const now = this.clock.now();
    for (const [name, at] of this.refusedAtMs) if (now - at > REFUSED_RENTAL_KEPT_MS) this.refusedAtMs.delete(name);
    const over = (rental: RentalRecord) =>
      rental.machineIds!.every((machineId) => running.has(machineId) || this.inventory.terminated.has(machineId)) ||
      wall - rental.requestedAtMs > 2 * bootLimitMs(this.inventory.catalog.get(rental.machineType));
    const most = this.maxRecordsPerTransaction;
    const past = rentals.filter(over).slice(0, most);
    if (past.length > 0) await this.writeRentals(past, true);
    const booting: MachineOffer[] = [];
    const counted = new Set<string>();
    const expect = (machineId: string, machineTypeName: string, zone: string, isSpot: boolean, ageMs: number) => {
      const machineType = this.inventory.catalog.get(machineTypeName);
      // One that takes far longer than others is not counted on, but kept a while in case it comes.
      if (
        machineType === undefined ||
        counted.has(machineId) ||
        running.has(machineId) ||
        this.inventory.terminated.has(machineId)
      )
        return;
      if (ageMs > machineType.bootS * 1000 * 2) return;
      counted.add(machineId);
      booting.push({ machineType, zone, isSpot });
    };
    for (const rental of rentals) {
      for (const machineId of rental.machineIds ?? [])
        expect(machineId, rental.machineType, rental.zone, rental.isSpot, wall - rental.requestedAtMs);
    }
    for (const machine of this.listed().values()) {
      if (machine.state === 'failed') continue;
      expect(machine.machineId, machine.machineType, machine.zone, machine.isSpot, machine.ageS * 1000);
    }
    const wanted = decideScaleOut(this.unmetNeeds(), this.availableOffers(), booting, MAX_SCALE_OUT_AT_ONCE);
    const reserve = wanted.length === 0 ? this.decideReserve(booting) : undefined;
    if (reserve !== undefined) wanted.push(reserve);
    const held = this.leadership.leadershipOf(CLUSTER_LEADER_ROLE);
    if (held === undefined || wanted.length === 0) return false;
    const records = wanted.slice(0, most).map((offer): RentalRecord => ({
      // The leader's fence is unique in the store, so no other node or life ever makes this name.
      rentalId: `r-${held.fencingToken}-${++this.sequence}`,
      machineType: offer.machineType.name,
      zone: offer.zone,
      isSpot: offer.isSpot,
      count: offer.count,
      requestedAtMs: wall,
      machineIds: null,
    }));
    // All wanted at one moment share one transaction.
    const noted = await this.writeRentals(records);
    if (!noted) return false;
    const full = await Promise.all(records.map((record) => this.requestMachines(record)));
    return full.includes(false) || wanted.length > most;
  }

  /** More machines where free room has become scarce, before tasks have to wait for them. */
  private decideReserve(booting: readonly MachineOffer[]): WantedMachines | undefined {
    const open = this.inventory.openMachines();
    const rooms = this.planner.freeResources(open);
    const offers = this.availableOffers();
    const kinds = new Map<string, { free: number; total: number }>();
    const kindOf = (name: string) => ((this.inventory.catalog.get(name)?.gpus ?? 0) > 0 ? 'cards' : 'plain');
    for (const machine of open) {
      const machineType = this.inventory.catalog.get(machine.machineType)!;
      const kind = kinds.get(kindOf(machineType.name)) ?? { free: 0, total: 0 };
      kind.free += Math.max(0, rooms.get(machine.machineId)?.cpus ?? 0);
      kind.total += machineType.cpus;
      kinds.set(kindOf(machineType.name), kind);
    }
    for (const { machineType } of booting) {
      const kind = kinds.get(kindOf(machineType.name));
      if (kind !== undefined) kind.free += machineType.cpus;
    }
    for (const [name, kind] of kinds) {
      if (!isBelowReserve(kind.free, kind.total)) continue;
      const fit = offers.filter((offer) => kindOf(offer.machineType.name) === name && !offer.isSpot);
      const spot = offers.filter((offer) => kindOf(offer.machineType.name) === name && offer.isSpot);
      const count = (zone: string) => open.filter((machine) => machine.zone === zone).length;
      const best = [...fit].sort(
        (a, b) =>
          a.machineType.hourlyPrice / a.machineType.cpus - b.machineType.hourlyPrice / b.machineType.cpus ||
          count(a.zone) - count(b.zone),
      )[0];
      const offer = best ?? spot[0];
      if (offer === undefined) continue;
      const missing = Math.ceil((kind.total * RESERVE_SHARE - kind.free) / offer.machineType.cpus);
      return { ...offer, count: Math.min(MAX_RESERVE_AT_ONCE, Math.max(1, missing)) };
    }
    return undefined;
  }

  /** True: rented in full. */
  private async requestMachines(record: RentalRecord): Promise<boolean> {
    const result = await this.cloud.scaleOut(record);
    const machineType = this.inventory.catalog.get(record.machineType);
    this.log.info({ rental: record.rentalId, machineType: record.machineType, zone: record.zone, result }, 'rental');
    if (result.kind === 'rented') {
      if (result.machineIds.length < record.count && machineType !== undefined) {
        this.noCapacityUntilMs.set(offerName({ ...record, machineType }), this.clock.now() + NO_CAPACITY_MS);
      }
      await this.writeRentals([{ ...record, machineIds: result.machineIds }]);
    } else if (result.kind === 'no_capacity' || result.kind === 'malformed') {
      if (machineType !== undefined) {
        this.noCapacityUntilMs.set(offerName({ ...record, machineType }), this.clock.now() + NO_CAPACITY_MS);
      }
      this.refusedAtMs.set(record.rentalId, this.clock.now());
      await this.writeRentals([record], true);
    } else {
      // Not answered, or refused for now: the same name is sent again, so nothing is rented twice.
      await this.clock.sleep(1000);
    }
    return result.kind === 'rented' && result.machineIds.length === record.count;
  }
}

const offerName = (offer: { machineType: { name: string }; zone: string; isSpot: boolean }): string =>
  `${offer.machineType.name} ${offer.zone} ${offer.isSpot}`;

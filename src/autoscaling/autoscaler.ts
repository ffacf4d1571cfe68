/** Scales out, for pending tasks first, then for the reserve of free resources. */
import type { CloudClient } from '../cloud/cloud-client.js';
import { MAX_SCALE_OUT_AT_ONCE, REFUSED_RENTAL_KEPT_MS } from '../constants/autoscaling.js';
import { CLUSTER_LEADER_ROLE } from '../domain/role.js';
import type { Settings } from '../domain/settings.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { RentalRecord } from '../records/records.js';
import type { PlacementPlanner } from '../scheduling/placement-planner.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import { findBootingMachines } from './booting-machines.js';
import { findCapacityNeeds } from './capacity-needs.js';
import type { MachineListReader } from './machine-list-reader.js';
import { RefusedOffers } from './refused-offers.js';
import { RentalRecords } from './rental-records.js';
import { decideReserve } from './reserve-decision.js';
import { bootTimeoutMs, decideScaleOut, type MachineOffer, type WantedMachines } from './scale-out-decision.js';

/** ms before the retry of a request that got no response or was refused temporarily. */
const RETRY_PAUSE_MS = 1000;

/** Multiple of the boot timeout after which a rental's record is deleted, whether or not its machines came up. */
const RENTAL_KEPT_BOOT_TIMEOUTS = 2;

type Machines = ReturnType<MachineInventory['machines']>;

/** Dependencies of Autoscaler. */
export interface AutoscalerDependencies {
  settings: Settings;
  leadership: RoleLeadership;
  clusterState: ClusterState;
  inventory: MachineInventory;
  planner: PlacementPlanner;
  transactions: TransactionBatcher;
  machineList: MachineListReader;
  cloud: CloudClient;
  clock: Clock;
  log: Log;
}

/**
 * Requests machines from the cloud. Each request has a rental id that is never reused, and is recorded before it is sent,
 * so that the next leader repeats the same request instead of requesting further machines.
 */
export class Autoscaler {
  private readonly refusedOffers: RefusedOffers;
  private readonly rentalRecords: RentalRecords;
  /**
   * Rentals that were refused and whose records were deleted: monotonic ms of the refusal by rental id. A delayed write
   * may restore a deleted record, but only under the leadership that wrote it, so this node knows all such rentals.
   */
  private readonly rentalRefusedAtMs = new Map<string, number>();
  private sequence = 0;
  /** Maximum of records changed by one transaction, valid before and after an announced change of the store's limits. */
  private readonly maxRecordsPerTransaction: number;

  constructor(private readonly dependencies: AutoscalerDependencies) {
    this.maxRecordsPerTransaction = dependencies.settings.cluster.store.strictest.transactionWrites;
    this.refusedOffers = new RefusedOffers(dependencies.clock);
    this.rentalRecords = new RentalRecords(dependencies);
  }

  /** Offers that the cloud has recently refused; `at`: time of the refusal, monotonic ms. */
  recentlyRefusedOffers(): Iterable<{ offer: string; at: number }> {
    return this.refusedOffers.recent();
  }

  /** Takes over the refusal of an offer from a former leader. */
  restoreRefusal(offer: string, at: number): void {
    this.refusedOffers.restore(offer, at);
  }

  /**
   * Runs one round of scale-out. Resolves to true if another round may request more, since requests were repeated, were not
   * granted in full, or were left for another transaction.
   */
  async round(): Promise<boolean> {
    const { clusterState, inventory, clock } = this.dependencies;
    const rentals = [...clusterState.rentals.values()];
    const wallMs = clock.wall();
    const machines = inventory.machines();
    // Requests without a recorded response, also those of a former leader, are repeated first: the same rental id gets the same
    // machines.
    const unanswered = rentals.filter((rental) => rental.machineIds === null);
    if (unanswered.length > 0) {
      await this.repeatRequests(unanswered);
      return true;
    }
    this.pruneRefusedRentals();
    const finished = rentals
      .filter((rental) => this.isFinished(rental, machines, wallMs))
      .slice(0, this.maxRecordsPerTransaction);
    if (finished.length > 0) await this.rentalRecords.delete(finished);
    return this.scaleOut(this.decide(this.bootingMachines(rentals, machines, wallMs)), wallMs);
  }

  private async repeatRequests(unanswered: readonly RentalRecord[]): Promise<void> {
    const refused = unanswered
      .filter(({ rentalId }) => this.rentalRefusedAtMs.has(rentalId))
      .slice(0, this.maxRecordsPerTransaction);
    if (refused.length > 0) await this.rentalRecords.delete(refused);
    await Promise.all(
      unanswered
        .filter(({ rentalId }) => !this.rentalRefusedAtMs.has(rentalId))
        .map((rental) => this.requestMachines(rental)),
    );
  }

  private pruneRefusedRentals(): void {
    const nowMs = this.dependencies.clock.now();
    for (const [rentalId, atMs] of this.rentalRefusedAtMs)
      if (nowMs - atMs > REFUSED_RENTAL_KEPT_MS) this.rentalRefusedAtMs.delete(rentalId);
  }

  /** Whether all machines have come up or been terminated, or the rental is too old to wait for them. */
  private isFinished({ machineIds, machineType, requestedAtMs }: RentalRecord, machines: Machines, wallMs: number) {
    const { inventory } = this.dependencies;
    if (machineIds === null) return false;
    return (
      machineIds.every((machineId) => machines.has(machineId) || inventory.terminated.has(machineId)) ||
      wallMs - requestedAtMs > RENTAL_KEPT_BOOT_TIMEOUTS * bootTimeoutMs(inventory.catalog.get(machineType))
    );
  }

  private bootingMachines(rentals: readonly RentalRecord[], machines: Machines, wallMs: number): MachineOffer[] {
    const { inventory, machineList } = this.dependencies;
    return findBootingMachines({
      rentals,
      listedMachines: machineList.machines.values(),
      catalog: inventory.catalog,
      isUpOrTerminated: (machineId) => machines.has(machineId) || inventory.terminated.has(machineId),
      wallMs,
    });
  }

  /** The reserve is considered only when no machines are to be requested for pending tasks. */
  private decide(booting: readonly MachineOffer[]): WantedMachines[] {
    const offers = this.availableOffers();
    const wanted = decideScaleOut(findCapacityNeeds(this.dependencies), offers, booting, MAX_SCALE_OUT_AT_ONCE);
    if (wanted.length > 0) return wanted;
    const reserve = decideReserve({ schedulableMachines: this.schedulableMachines(), booting, offers });
    return reserve === undefined ? [] : [reserve];
  }

  private schedulableMachines() {
    const { inventory, planner } = this.dependencies;
    const schedulable = inventory.schedulableMachines();
    const freeResources = planner.freeResources(schedulable);
    return schedulable.map(({ machineId, machineType, zone }) => ({
      machineType: inventory.catalog.get(machineType)!,
      zone,
      freeCpus: freeResources.get(machineId)?.cpus ?? 0,
    }));
  }

  /** All offers in the catalog, except those that the cloud has recently refused. */
  private availableOffers(): MachineOffer[] {
    const offers: MachineOffer[] = [];
    for (const machineType of this.dependencies.inventory.catalog.values()) {
      const variants = machineType.spotHourlyPrice > 0 ? [false, true] : [false];
      for (const zone of machineType.zones) {
        const zoneOffers = variants.map((isSpot) => ({ machineType, zone, isSpot }));
        offers.push(
          ...zoneOffers.filter(
            ({ isSpot }) => !this.refusedOffers.has({ machineType: machineType.name, zone, isSpot }),
          ),
        );
      }
    }
    return offers;
  }

  /** Records the requests, then sends them. Returns the result of the round. */
  private async scaleOut(wanted: readonly WantedMachines[], wallMs: number): Promise<boolean> {
    const heldLeadership = this.dependencies.leadership.leadershipOf(CLUSTER_LEADER_ROLE);
    if (heldLeadership === undefined || wanted.length === 0) return false;
    const records = wanted
      .slice(0, this.maxRecordsPerTransaction)
      .map(({ machineType, zone, isSpot, count }): RentalRecord => ({
        // The leader's fencing token is unique in the store, so no other node or incarnation ever generates this id.
        rentalId: `r-${heldLeadership.fencingToken}-${++this.sequence}`,
        machineType: machineType.name,
        zone,
        isSpot,
        count,
        requestedAtMs: wallMs,
        machineIds: null,
      }));
    // One transaction records all requests of the round.
    const isRecorded = await this.rentalRecords.put(records);
    if (!isRecorded) return false;
    const areGrantedInFull = await Promise.all(records.map((record) => this.requestMachines(record)));
    return areGrantedInFull.includes(false) || wanted.length > this.maxRecordsPerTransaction;
  }

  /** Resolves to true if the request was granted in full. */
  private async requestMachines(record: RentalRecord): Promise<boolean> {
    const { cloud, clock, log } = this.dependencies;
    const { rentalId, machineType, zone, count } = record;
    const result = await cloud.scaleOut(record);
    log.info({ rentalId, machineType, zone, result }, 'scale-out requested');
    switch (result.kind) {
      case 'rented': {
        const { machineIds } = result;
        if (machineIds.length < count) this.addRefusedOffer(record);
        await this.rentalRecords.put([{ ...record, machineIds }]);
        return machineIds.length === count;
      }
      case 'no_capacity':
      case 'malformed':
        this.addRefusedOffer(record);
        this.rentalRefusedAtMs.set(rentalId, clock.now());
        await this.rentalRecords.delete([record]);
        return false;
      case 'refused':
      case 'unknown':
        // The retry carries the same rental id, so no machines are added twice.
        await clock.sleep(RETRY_PAUSE_MS);
        return false;
    }
  }

  private addRefusedOffer(record: RentalRecord): void {
    if (this.dependencies.inventory.catalog.has(record.machineType)) this.refusedOffers.add(record);
  }
}

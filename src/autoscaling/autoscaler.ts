/** Scales out: for tasks without a placement first, then for the reserve of free resources. */
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
import { bootLimitMs, decideScaleOut, type MachineOffer, type WantedMachines } from './scale-out-decision.js';

/** ms before a request that was not answered, or refused for now, is sent again. */
const RETRY_PAUSE_MS = 1000;

/** Times the boot limit after which the record of a rental is deleted, whether or not its machines came up. */
const RENTAL_KEPT_BOOT_LIMITS = 2;

type Machines = ReturnType<MachineInventory['machines']>;

/** What scale out needs of the other parts. */
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
 * Asks the cloud for machines. Each request has a rental id that is never used twice and is recorded before it is sent, so
 * that whoever leads next repeats it in place of asking for other machines.
 */
export class Autoscaler {
  private readonly refusedOffers: RefusedOffers;
  private readonly rentalRecords: RentalRecords;
  /**
   * Rentals that were refused and deleted, with the steady ms. Their records may come back by a late write of their own; only
   * under the leadership that wrote them, so this node knows them all.
   */
  private readonly refusedAtMs = new Map<string, number>();
  private sequence = 0;
  /** Records that one transaction may change, also after an announced change of the store's limits. */
  private readonly maxRecordsPerTransaction: number;

  constructor(private readonly dependencies: AutoscalerDependencies) {
    this.maxRecordsPerTransaction = dependencies.settings.cluster.store.lasting.transactionWrites;
    this.refusedOffers = new RefusedOffers(dependencies.clock);
    this.rentalRecords = new RentalRecords(dependencies);
  }

  /** Offers that the cloud has recently refused, with the steady ms. */
  recentlyRefusedOffers(): Iterable<{ offer: string; at: number }> {
    return this.refusedOffers.recent();
  }

  /** A former leader was refused an offer. */
  restoreRefusal(offer: string, at: number): void {
    this.refusedOffers.restore(offer, at);
  }

  /** True: something was refused or left for another transaction, so that another round may find more. */
  async round(): Promise<boolean> {
    const { clusterState, inventory, clock } = this.dependencies;
    const rentals = [...clusterState.rentals.values()];
    const wallMs = clock.wall();
    const machines = inventory.machines();
    // First the requests of a former leader, or with a lost answer: the same rental id gets the same machines.
    const unanswered = rentals.filter((rental) => rental.machineIds === null);
    if (unanswered.length > 0) {
      await this.repeatRequests(unanswered);
      return true;
    }
    this.forgetOldRefusals();
    const finished = rentals
      .filter((rental) => this.isFinished(rental, machines, wallMs))
      .slice(0, this.maxRecordsPerTransaction);
    if (finished.length > 0) await this.rentalRecords.delete(finished);
    return this.scaleOut(this.decide(this.bootingMachines(rentals, machines, wallMs)), wallMs);
  }

  private async repeatRequests(unanswered: readonly RentalRecord[]): Promise<void> {
    const refused = unanswered
      .filter(({ rentalId }) => this.refusedAtMs.has(rentalId))
      .slice(0, this.maxRecordsPerTransaction);
    if (refused.length > 0) await this.rentalRecords.delete(refused);
    await Promise.all(
      unanswered
        .filter(({ rentalId }) => !this.refusedAtMs.has(rentalId))
        .map((rental) => this.requestMachines(rental)),
    );
  }

  private forgetOldRefusals(): void {
    const nowMs = this.dependencies.clock.now();
    for (const [rentalId, atMs] of this.refusedAtMs)
      if (nowMs - atMs > REFUSED_RENTAL_KEPT_MS) this.refusedAtMs.delete(rentalId);
  }

  /** Has each machine come up or been terminated, or is the rental too old to wait for them? */
  private isFinished({ machineIds, machineType, requestedAtMs }: RentalRecord, machines: Machines, wallMs: number) {
    const { inventory } = this.dependencies;
    if (machineIds === null) return false;
    return (
      machineIds.every((machineId) => machines.has(machineId) || inventory.terminated.has(machineId)) ||
      wallMs - requestedAtMs > RENTAL_KEPT_BOOT_LIMITS * bootLimitMs(inventory.catalog.get(machineType))
    );
  }

  private bootingMachines(rentals: readonly RentalRecord[], machines: Machines, wallMs: number): MachineOffer[] {
    const { inventory, machineList } = this.dependencies;
    return findBootingMachines({
      rentals,
      listedMachines: machineList.machines.values(),
      catalog: inventory.catalog,
      isSettled: (machineId) => machines.has(machineId) || inventory.terminated.has(machineId),
      wallMs,
    });
  }

  /** The reserve is looked at only when nothing waits for a machine. */
  private decide(booting: readonly MachineOffer[]): WantedMachines[] {
    const offers = this.availableOffers();
    const wanted = decideScaleOut(findCapacityNeeds(this.dependencies), offers, booting, MAX_SCALE_OUT_AT_ONCE);
    if (wanted.length > 0) return wanted;
    const reserve = decideReserve({ openMachines: this.openMachines(), booting, offers });
    return reserve === undefined ? [] : [reserve];
  }

  private openMachines() {
    const { inventory, planner } = this.dependencies;
    const open = inventory.schedulableMachines();
    const freeResources = planner.freeResources(open);
    return open.map(({ machineId, machineType, zone }) => ({
      machineType: inventory.catalog.get(machineType)!,
      zone,
      freeCpus: freeResources.get(machineId)?.cpus ?? 0,
    }));
  }

  /** All that the cloud offers and has not refused recently. */
  private availableOffers(): MachineOffer[] {
    const offers: MachineOffer[] = [];
    for (const machineType of this.dependencies.inventory.catalog.values()) {
      const variants = machineType.spotHourlyPrice > 0 ? [false, true] : [false];
      for (const zone of machineType.zones) {
        const ofZone = variants.map((isSpot) => ({ machineType, zone, isSpot }));
        offers.push(
          ...ofZone.filter(({ isSpot }) => !this.refusedOffers.has({ machineType: machineType.name, zone, isSpot })),
        );
      }
    }
    return offers;
  }

  /** Returns the same as a round. */
  private async scaleOut(wanted: readonly WantedMachines[], wallMs: number): Promise<boolean> {
    const held = this.dependencies.leadership.leadershipOf(CLUSTER_LEADER_ROLE);
    if (held === undefined || wanted.length === 0) return false;
    const records = wanted
      .slice(0, this.maxRecordsPerTransaction)
      .map(({ machineType, zone, isSpot, count }): RentalRecord => ({
        // The leader's fencing token is unique in the store, so no other node or incarnation ever makes this id.
        rentalId: `r-${held.fencingToken}-${++this.sequence}`,
        machineType: machineType.name,
        zone,
        isSpot,
        count,
        requestedAtMs: wallMs,
        machineIds: null,
      }));
    // All wanted at one moment share one transaction.
    const isRecorded = await this.rentalRecords.put(records);
    if (!isRecorded) return false;
    const areFull = await Promise.all(records.map((record) => this.requestMachines(record)));
    return areFull.includes(false) || wanted.length > this.maxRecordsPerTransaction;
  }

  /** True: granted in full. */
  private async requestMachines(record: RentalRecord): Promise<boolean> {
    const { cloud, clock, log } = this.dependencies;
    const { rentalId, machineType, zone, count } = record;
    const result = await cloud.scaleOut(record);
    log.info({ rentalId, machineType, zone, result }, 'scale-out requested');
    switch (result.kind) {
      case 'rented': {
        const { machineIds } = result;
        if (machineIds.length < count) this.noteRefusedOffer(record);
        await this.rentalRecords.put([{ ...record, machineIds }]);
        return machineIds.length === count;
      }
      case 'no_capacity':
      case 'malformed':
        this.noteRefusedOffer(record);
        this.refusedAtMs.set(rentalId, clock.now());
        await this.rentalRecords.delete([record]);
        return false;
      case 'refused':
      case 'unknown':
        // The same rental id is sent again, so nothing is added twice.
        await clock.sleep(RETRY_PAUSE_MS);
        return false;
    }
  }

  private noteRefusedOffer(record: RentalRecord): void {
    if (this.dependencies.inventory.catalog.has(record.machineType)) this.refusedOffers.add(record);
  }
}

import {
  CATALOG_PERIOD_MS,
  IDLE_CHECK_PERIOD_MS,
  IDLE_SCALE_IN_MS,
  LIST_PERIOD_MS,
  SCALE_OUT_PERIOD_MS,
  SCALE_OUT_ROUNDS,
  QUARANTINE_PATIENCE_MS,
  STATUS_PERIOD_MS,
  UNHEARD_SILENCE_LIMITS,
  ZONE_HEAL_MS,
} from '../constants/autoscaling.js';
import { PREEMPT_PERIOD_MS } from '../constants/scheduling.js';
import type { Settings } from '../domain/settings.js';
import type { ClusterState } from '../records/cluster-state.js';
import { releasePlacement } from '../records/placement-mutations.js';
import { machineTypeKey } from '../records/record-keys.js';
import type { TeamAccounting } from '../records/team-accounting.js';
import { heartbeatLateMs, silenceLimitMs } from '../domain/worker-deadlines.js';
import { CLUSTER_LEADER_ROLE, partitionRole } from '../domain/role.js';
import type { MachineInfo } from '../domain/machine-state.js';
import type { MachineType } from '../domain/machine-type.js';
import { exitPriority } from '../records/transaction-priority.js';
import type { PlacementPlanner } from '../scheduling/placement-planner.js';
import { Preemptor } from '../scheduling/preemptor.js';
import { EvictionMarker } from '../scheduling/eviction-marker.js';
import { findCutZones, findMachinesToReplace, type WatchedMachine } from './silent-machines.js';
import { isBelowReserve, bootLimitMs } from './scale-out-decision.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';
import { Autoscaler } from './autoscaler.js';
import { decodeMachineType, type ListedMachine } from '../cloud/cloud-wire-codec.js';
import type { CloudClient } from '../cloud/cloud-client.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { TransactionDraft } from '../store/transaction-draft.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import type { PeerDirectory } from '../gossip/peer-directory.js';
import type { Log } from '../logging/log.js';
import { LeaderMemory } from '../leadership/advisory-memory.js';

export interface ClusterLeaderDependencies {
  settings: Settings;
  leadership: RoleLeadership;
  clusterState: ClusterState;
  inventory: MachineInventory;
  planner: PlacementPlanner;
  transactions: TransactionBatcher;
  accounting: TeamAccounting;
  cloud: CloudClient;
  peerDirectory: PeerDirectory;
  clock: Clock;
  log: Log;
}

/** What the leader does for the whole cluster: catalogue, renting and returning, drains, preemption. */
export class ClusterLeader {
  private readonly settings: Settings;
  private readonly leadership: RoleLeadership;
  private readonly clusterState: ClusterState;
  private readonly inventory: MachineInventory;
  private readonly planner: PlacementPlanner;
  private readonly transactions: TransactionBatcher;
  private readonly accounting: TeamAccounting;
  private readonly cloud: CloudClient;
  private readonly peerDirectory: PeerDirectory;
  private readonly clock: Clock;
  private readonly log: Log;
  private listedMachines = new Map<string, ListedMachine>();
  private readonly idleSince = new Map<string, number>();
  private readonly quarantinedSince = new Map<string, number>();
  private readonly inFlightScaleIns = new Set<string>();
  private readonly evictionMarker: EvictionMarker;
  private readonly preemptor: Preemptor;
  private readonly autoscaler: Autoscaler;
  private catalogReadAtMs = -Infinity;
  private nextIdleCheckAtMs = -Infinity;
  /** Since when each role is seen in the hands of its present owner. */
  private readonly leaderSince = new Map<string, { leaseId: number; at: number }>();
  /** When each zone was last seen cut off. */
  private readonly zoneCutAtMs = new Map<string, number>();

  constructor({
    settings,
    leadership,
    clusterState,
    inventory,
    planner,
    transactions,
    accounting,
    cloud,
    peerDirectory,
    clock,
    log,
  }: ClusterLeaderDependencies) {
    this.settings = settings;
    this.leadership = leadership;
    this.clusterState = clusterState;
    this.inventory = inventory;
    this.planner = planner;
    this.transactions = transactions;
    this.accounting = accounting;
    this.cloud = cloud;
    this.peerDirectory = peerDirectory;
    this.clock = clock;
    this.log = log;
    this.evictionMarker = new EvictionMarker(leadership, clusterState, transactions, clock, log);
    this.preemptor = new Preemptor(settings, clusterState, inventory, planner, this.evictionMarker, clock);
    this.autoscaler = new Autoscaler(
      settings,
      leadership,
      clusterState,
      inventory,
      planner,
      transactions,
      cloud,
      clock,
      log,
      () => this.listedMachines,
    );
  }

  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.repeatWhileLeading(SCALE_OUT_PERIOD_MS / 4, signal, () => this.readCatalog()),
      this.repeatWhileLeading(LIST_PERIOD_MS, signal, () => this.readMachineList()),
      this.repeatWhileLeading(SCALE_OUT_PERIOD_MS, signal, async () => {
        // What is refused in one place is asked for in the next at once: a machine takes long enough to boot.
        for (let round = 0; round < SCALE_OUT_ROUNDS && (await this.autoscaler.round()); round++);
      }),
      this.repeatWhileLeading(SCALE_OUT_PERIOD_MS / 4, signal, () => this.maintainMachines()),
      this.repeatWhileLeading(PREEMPT_PERIOD_MS / 2, signal, () => this.preemptor.round()),
      this.repeatWhileLeading(STATUS_PERIOD_MS, signal, () => this.logStatus()),
    ]);
  }

  private async repeatWhileLeading(ms: number, signal: AbortSignal, work: () => Promise<void> | void): Promise<void> {
    while (!signal.aborted) {
      try {
        if (this.leadership.isLeader) await work();
      } catch (error) {
        this.log.error({ error: (error as Error).stack }, 'leader duty failed');
      }
      await this.clock.sleep(ms, signal);
    }
  }

  /** A line now and then by which an operator sees how full the cluster is and who waits. */
  private logStatus(): void {
    const machines = [...this.inventory.machines().values()];
    const open = this.inventory.openMachines();
    let total = 0;
    let free = 0;
    for (const [machineId, room] of this.planner.freeResources(open)) {
      total += this.inventory.catalog.get(this.inventory.get(machineId)!.machineType)!.cpus;
      free += room.cpus;
    }
    const closed: Record<string, number> = {};
    for (const machine of machines) {
      const why = this.inventory.whyClosed(machine);
      if (why !== undefined) closed[why] = (closed[why] ?? 0) + 1;
    }
    const waiting: Record<string, number> = {};
    for (const { view } of this.planner.unplacedTasks) {
      const { priority } = view.record.spec;
      waiting[priority] = (waiting[priority] ?? 0) + 1;
    }
    this.log.info(
      { machines: machines.length, open: open.length, closed, cpus: total, free: Math.round(free), waiting },
      'status',
    );
  }

  private async readCatalog(): Promise<void> {
    const now = this.clock.now();
    if (now - this.catalogReadAtMs < CATALOG_PERIOD_MS) return;
    const machineTypes = await this.cloud.machineTypes();
    if (machineTypes === undefined) return;
    this.catalogReadAtMs = now;
    // Each type is a decision of its own: all together may be more than one transaction holds.
    await Promise.all(
      machineTypes.map((machineType) =>
        this.transactions.commit('catalogue', Priority.record, (draft) => this.recordMachineType(draft, machineType)),
      ),
    );
  }

  private recordMachineType(draft: TransactionDraft, stored: unknown): boolean {
    if (!this.leadership.requireLeadership(draft, CLUSTER_LEADER_ROLE)) return false;
    const now = decodeMachineType(stored)!;
    const key = machineTypeKey(now.name);
    // Prices move all the time; only what decides about fitting is worth a change.
    const old = decodeMachineType(draft.get(key));
    const withoutPrices = (each: MachineType) => JSON.stringify({ ...each, hourlyPrice: 0, spotHourlyPrice: 0 });
    if (old !== undefined && withoutPrices(old) === withoutPrices(now)) return false;
    draft.set(key, stored);
    return true;
  }

  private async readMachineList(): Promise<void> {
    const list = await this.cloud.list();
    if (list === undefined) return;
    this.listedMachines = new Map(list.map((machine) => [machine.machineId, machine]));
  }

  /** What the leader remembers beside the records: for whoever succeeds it. */
  get memory(): LeaderMemory {
    return {
      stopping: () => this.evictionMarker.recentEvictions(),
      refused: () => this.autoscaler.recentlyRefusedOffers(),
      idle: () => [...this.idleSince].map(([machineId, at]) => ({ machineId, at })),
      restoreStopping: (attempt, at) => this.evictionMarker.restoreEviction(attempt, at),
      restoreRefusal: (offer, at) => this.autoscaler.restoreRefusal(offer, at),
      // An entry stands only as long as the machine is seen idle: the next look drops it otherwise.
      restoreIdle: (machineId, at) =>
        void this.idleSince.set(machineId, Math.min(at, this.idleSince.get(machineId) ?? Infinity)),
    };
  }

  /** Where a machine listens that has not reported to this node; undefined: neither a peer nor the cloud tells. */
  endpointOf(machineId: string): string | undefined {
    return this.inventory.peerReportOf(machineId)?.endpoint ?? this.listedMachines.get(machineId)?.endpoint;
  }

  /** Looks after machines: dead, failed, never up, sick, idle, warned. */
  private async maintainMachines(): Promise<void> {
    const now = this.clock.now();
    const all = this.inventory.machines();
    const back = new Set<string>([...this.findUnresponsiveMachines(all), ...this.findUnusableMachines(all)]);
    // Idle machines are kept for minutes, so they are looked for now and then.
    if (now >= this.nextIdleCheckAtMs) {
      this.nextIdleCheckAtMs = now + IDLE_CHECK_PERIOD_MS;
      for (const machineId of this.findIdleMachines()) back.add(machineId);
    }
    this.evictBeforeSpotNoticeEnds(all);
    const machineIds = [...back].filter((machineId) => !this.inFlightScaleIns.has(machineId)).slice(0, 50);
    // Places on machines that the cloud has confirmed gone, also those committed on an old view since.
    for (const machineId of this.clusterState.usedMachines())
      if (this.inventory.terminated.has(machineId)) this.releasePlacementsOn(machineId);
    if (machineIds.length === 0) return;
    for (const machineId of machineIds) {
      this.inFlightScaleIns.add(machineId);
      this.inventory.scalingIn.add(machineId);
    }
    this.log.info({ machines: machineIds, at: Math.round(now) }, 'machines given back');
    const gone = await this.cloud.scaleIn(machineIds);
    for (const machineId of machineIds) {
      this.inFlightScaleIns.delete(machineId);
      if (!gone) {
        this.inventory.scalingIn.delete(machineId);
        continue;
      }
      this.inventory.markTerminated(machineId);
      this.listedMachines.delete(machineId);
      this.releasePlacementsOn(machineId);
    }
  }

  /** The cloud's 200 proves that the machine and everything on it are gone. */
  private releasePlacementsOn(machineId: string): void {
    for (const placedTask of [...this.clusterState.tasksOn(machineId)]) {
      const priority = exitPriority(this.clusterState.jobs.get(placedTask.jobId)?.record.spec);
      void this.transactions.commit(
        'gone',
        priority,
        (draft) => {
          if (!this.leadership.requireLeadership(draft, CLUSTER_LEADER_ROLE)) return false;
          return releasePlacement(
            draft,
            this.accounting,
            placedTask.jobId,
            placedTask.taskIndex,
            machineId,
            { kind: 'gone' },
            'lost',
          );
        },
        undefined,
        this.clusterState.batchingHintFor(placedTask.jobId, placedTask.taskIndex),
      );
    }
  }

  /** Machines that have been silent for long, unless so many are that the fault is not theirs. */
  private findUnresponsiveMachines(all: ReadonlyMap<string, MachineInfo>): string[] {
    const now = this.clock.now();
    const limit = silenceLimitMs(this.settings.cluster.workers);
    const watched: WatchedMachine[] = [];
    for (const machine of all.values()) {
      const partition = this.leadership.partitionOf(machine.machineId);
      // Only the word of the present owner counts: a former one, cut off, would call them all silent.
      const isOwners = machine.partitionLeader === this.leadership.leaderOf(partitionRole(partition));
      if (!isOwners || this.inventory.terminated.has(machine.machineId) || !this.inventory.isCurrent(machine.machineId))
        continue;
      const age = now - machine.heardAt;
      // A mute machine's lease has run out, so nothing runs there any more; only its being gone proves that at once.
      const silent = machine.isMute || (age > limit && !this.hasReportedElsewhere(machine));
      const isLate = silent || age > heartbeatLateMs(this.settings.cluster.workers);
      watched.push({
        machineId: machine.machineId,
        partition,
        zone: machine.zone,
        unresponsiveMs: silent ? Math.max(age, 1) : 0,
        isLate,
      });
    }
    watched.push(...this.neverHeardMachines(all, now));
    for (const zone of findCutZones(watched)) this.zoneCutAtMs.set(zone, now);
    for (const [zone, at] of this.zoneCutAtMs) if (now - at > ZONE_HEAL_MS) this.zoneCutAtMs.delete(zone);
    return findMachinesToReplace(watched, new Set(this.zoneCutAtMs.keys()));
  }

  /**
   * Machines with tasks that nobody has heard since the owners of their partitions took over: what died while all nodes were down
   * is told of by no former owner, and would else be waited for until its lease is proved over.
   */
  private neverHeardMachines(all: ReadonlyMap<string, MachineInfo>, now: number): WatchedMachine[] {
    const { workers } = this.settings.cluster;
    const list: WatchedMachine[] = [];
    for (const [role, { record }] of this.clusterState.leadershipRecords) {
      const since = this.leaderSince.get(role);
      if (since?.leaseId !== record.leaseId) this.leaderSince.set(role, { leaseId: record.leaseId, at: now });
    }
    for (const machineId of this.clusterState.usedMachines()) {
      if (all.has(machineId) || this.inventory.terminated.has(machineId)) continue;
      const partition = this.leadership.partitionOf(machineId);
      const partitionLeader = this.leadership.leaderOf(partitionRole(partition));
      const told =
        partitionLeader === this.settings.node ||
        (partitionLeader !== undefined && this.peerDirectory.reachablePeers().includes(partitionLeader));
      const [placedTask] = this.clusterState.tasksOn(machineId);
      if (!told || placedTask === undefined) continue;
      const age = now - this.leaderSince.get(partitionRole(partition))!.at;
      const silent =
        age > UNHEARD_SILENCE_LIMITS * silenceLimitMs(workers) &&
        !this.peerDirectory.hasReportedElsewhere(machineId, -Infinity);
      list.push({
        machineId,
        partition,
        zone: placedTask.placement.zone,
        unresponsiveMs: silent ? age : 0,
        isLate: age > heartbeatLateMs(workers),
      });
    }
    return list;
  }

  private hasReportedElsewhere(machine: MachineInfo): boolean {
    return this.peerDirectory.hasReportedElsewhere(machine.machineId, machine.heardAt);
  }

  /** Machines that failed, never came up, or fail all their tasks and hold none now. */
  private findUnusableMachines(all: ReadonlyMap<string, MachineInfo>): string[] {
    const list: string[] = [];
    for (const machine of this.listedMachines.values()) {
      if (this.inventory.terminated.has(machine.machineId)) continue;
      const limit = bootLimitMs(this.inventory.catalog.get(machine.machineType));
      const never = machine.state === 'starting' && !all.has(machine.machineId) && machine.ageS * 1000 > limit;
      if (machine.state === 'failed' || never) list.push(machine.machineId);
    }
    const now = this.clock.now();
    for (const machineId of this.quarantinedSince.keys())
      if (all.get(machineId)?.isQuarantined !== true) this.quarantinedSince.delete(machineId);
    for (const { machineId, isQuarantined } of all.values()) {
      if (!isQuarantined || this.inventory.terminated.has(machineId)) continue;
      const since = this.quarantinedSince.get(machineId) ?? now;
      this.quarantinedSince.set(machineId, since);
      if (now - since >= QUARANTINE_PATIENCE_MS && this.clusterState.taskCountOn(machineId) === 0) list.push(machineId);
    }
    return list;
  }

  private findIdleMachines(): string[] {
    const now = this.clock.now();
    const list: string[] = [];
    const open = this.inventory.openMachines();
    let total = 0;
    let free = 0;
    const rooms = this.planner.freeResources(open);
    for (const machine of open) {
      total += this.inventory.catalog.get(machine.machineType)!.cpus;
      free += Math.max(0, rooms.get(machine.machineId)!.cpus);
    }
    for (const machine of open) {
      if (this.clusterState.taskCountOn(machine.machineId) > 0) {
        this.idleSince.delete(machine.machineId);
        continue;
      }
      const since = this.idleSince.get(machine.machineId) ?? now;
      this.idleSince.set(machine.machineId, since);
      const cpus = this.inventory.catalog.get(machine.machineType)!.cpus;
      // Hysteresis: rented below one reserve, given back only above twice as much.
      if (now - since < IDLE_SCALE_IN_MS || isBelowReserve((free - cpus) / 2, total - cpus)) continue;
      free -= cpus;
      total -= cpus;
      list.push(machine.machineId);
    }
    return list;
  }

  /** Tasks that can save are stopped in time on machines that the cloud will take; sick machines are emptied. */
  private evictBeforeSpotNoticeEnds(all: ReadonlyMap<string, MachineInfo>): void {
    const now = this.clock.now();
    for (const machine of all.values()) {
      if (machine.spotNoticeUntil === null) continue;
      for (const placedTask of [...this.clusterState.tasksOn(machine.machineId)]) {
        const spec = this.clusterState.jobs.get(placedTask.jobId)?.record.spec;
        if (
          spec === undefined ||
          this.evictionMarker.isStopping(placedTask) ||
          (spec.kind === 'array' && spec.checkpointIntervalS === 0)
        )
          continue;
        const left = (machine.spotNoticeUntil - now) / 1000;
        this.evictionMarker.evict(placedTask, spec, left > spec.checkpointS ? spec.checkpointS : 0, 'notice');
      }
    }
  }
}

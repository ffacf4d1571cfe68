/** All known machines, from their workers' heartbeats and from the peers' gossip. */
import { GOSSIP_STALE_MS } from '../constants/gossip.js';
import { INVENTORY_VIEW_REUSE_MS } from '../constants/inventory.js';
import type { Count } from '../domain/count.js';
import type { MachineInfo, MachineRefresh } from '../domain/machine-state.js';
import type { MachineType } from '../domain/machine-type.js';
import type { Settings } from '../domain/settings.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Clock } from '../net/clock.js';
import type { WorkerManager } from '../workers/worker-manager.js';
import type { WorkerStatus } from '../workers/worker-wire-codec.js';
import { clearQuarantineOfFaultyJobs } from './faulty-jobs.js';
import { LateHeartbeats } from './late-heartbeats.js';
import { MachineAvailability, type UnavailableReason } from './machine-availability.js';
import { ownLeadershipOver } from './machine-leadership.js';
import { OwnMachines } from './own-machines.js';
import { PeerMachineReports } from './peer-machine-reports.js';
import { TerminatedMachines } from './terminated-machines.js';

/** The known machines at one point in time. */
interface InventoryView {
  /** Monotonic ms. */
  createdAt: number;
  /** The numbers of workers and peer reports that it was built from: an added or removed machine invalidates it at once. */
  workerCount: number;
  peerReportCount: number;
  machines: Map<string, MachineInfo>;
  schedulable: MachineInfo[];
}

/** The machines and machine types known to this node. All times are monotonic ms of this node. */
export class MachineInventory {
  /** The machine types by name, as stored in the records. */
  readonly catalog = new Map<string, MachineType>();
  /** Machines that are being returned to the cloud and get no new tasks. */
  readonly scalingIn = new Set<string>();
  /** Machines that the cloud has confirmed terminated. */
  readonly terminated = new TerminatedMachines();
  private readonly peerReports = new PeerMachineReports();
  private readonly lateHeartbeats = new LateHeartbeats();
  private readonly own: OwnMachines;
  private readonly availability: MachineAvailability;
  private cachedView: InventoryView = {
    createdAt: -Infinity,
    workerCount: 0,
    peerReportCount: 0,
    machines: new Map(),
    schedulable: [],
  };

  constructor(
    settings: Settings,
    private readonly leadership: RoleLeadership,
    private readonly workerManager: WorkerManager,
    private readonly clock: Clock,
  ) {
    const { peerReports, catalog, scalingIn } = this;
    this.own = new OwnMachines({ settings, leadership, workers: workerManager.workers, peerReports, clock });
    this.availability = new MachineAvailability({ settings, leadership, peerReports, catalog, scalingIn, clock });
  }

  /** Whether this node leads the machine's partition or has a report about the machine newer than GOSSIP_STALE_MS. */
  hasCurrentState(machineId: string): boolean {
    if (ownLeadershipOver(this.leadership, machineId) !== undefined) return true;
    return this.clock.now() - this.peerReports.reportedAtOf(machineId) < GOSSIP_STALE_MS;
  }

  /** Stores a report that the leader of the machine's partition made at `reportedAt`, received from it or relayed. */
  applyPeerReport(machine: MachineInfo, reportedAt: number): void {
    if (!this.terminated.has(machine.machineId)) this.peerReports.apply(machine, reportedAt);
  }

  /** Stores a newer heartbeat of an otherwise unchanged machine. Returns false if its full state has to be applied instead. */
  refreshPeerReport(refresh: MachineRefresh, now: number): boolean {
    return this.terminated.has(refresh.machineId) || this.peerReports.refresh(refresh, now);
  }

  /** Recent reports to be relayed to other nodes: a third node bypasses a network partition between two nodes. */
  *recentPeerReports(
    isWanted: (partitionLeader: string) => boolean,
  ): Iterable<{ machine: MachineInfo; reportedAt: number }> {
    for (const report of this.peerReports.recent(this.clock.now())) {
      const { machineId, partitionLeader } = report.machine;
      if (isWanted(partitionLeader) && !this.workerManager.workers.has(machineId)) yield report;
    }
  }

  /** The machine as last reported by a peer. */
  peerReportOf(machineId: string): MachineInfo | undefined {
    return this.peerReports.machines.get(machineId);
  }

  /** The machines of the partitions that this node leads. */
  ownMachines(): MachineInfo[] {
    return this.own.list();
  }

  agentEpochOf(machineId: string): Count | undefined {
    return (this.workerManager.workers.get(machineId) ?? this.peerReportOf(machineId))?.agentEpoch;
  }

  /** One machine in its current state, not from the cached view. */
  get(machineId: string): MachineInfo | undefined {
    return this.own.get(machineId) ?? this.peerReportOf(machineId);
  }

  /** Every machine, from heartbeats received here or else from peers' reports. Callers within INVENTORY_VIEW_REUSE_MS share one view. */
  machines(): ReadonlyMap<string, MachineInfo> {
    return this.currentView().machines;
  }

  /** The machines on which new tasks may be placed. */
  schedulableMachines(): MachineInfo[] {
    const { schedulable } = this.currentView();
    return this.scalingIn.size === 0
      ? [...schedulable]
      : schedulable.filter(({ machineId }) => !this.scalingIn.has(machineId));
  }

  /** Cached, since describing hundreds of machines for each caller would cost more than the callers' own work. */
  private currentView(): InventoryView {
    const now = this.clock.now();
    const workerCount = this.workerManager.workers.size;
    const peerReportCount = this.peerReports.machines.size;
    const last = this.cachedView;
    const isSameCount = last.workerCount === workerCount && last.peerReportCount === peerReportCount;
    if (now - last.createdAt < INVENTORY_VIEW_REUSE_MS && isSameCount) return last;
    const machines = new Map(this.peerReports.machines);
    for (const machine of this.ownMachines()) machines.set(machine.machineId, machine);
    clearQuarantineOfFaultyJobs(machines);
    const schedulable = [...machines.values()].filter((machine) => this.isSchedulable(machine));
    this.cachedView = { createdAt: now, workerCount, peerReportCount, machines, schedulable };
    return this.cachedView;
  }

  /** Whether new tasks may be placed on the machine. */
  isSchedulable(machine: MachineInfo): boolean {
    return this.unavailableReasonOf(machine) === undefined;
  }

  /** Why no new tasks may be placed on the machine, or undefined if they may. */
  unavailableReasonOf(machine: MachineInfo): UnavailableReason | undefined {
    return this.availability.unavailableReasonOf(machine);
  }

  /** Whether the machine's last known heartbeat is older than allowed. */
  isSilent(machine: MachineInfo): boolean {
    return this.availability.isSilent(machine);
  }

  /** Whether a heartbeat received here, although another node leads the worker's partition, is a delayed copy. */
  isLate(workerStatus: WorkerStatus): boolean {
    return this.lateHeartbeats.isLate(workerStatus, this.peerReportOf(workerStatus.machineId));
  }

  /** Removes peers' reports about machines that no leader has reported for long. */
  prune(): void {
    this.peerReports.prune(this.clock.now());
  }

  /** Removes a machine that the cloud has confirmed terminated, and ignores later reports about it. */
  markTerminated(machineId: string): void {
    if (this.terminated.has(machineId)) return;
    this.terminated.add(machineId, this.clock.now());
    this.peerReports.remove(machineId);
    this.workerManager.workers.remove(machineId);
  }

  /** Terminated machines that other nodes may not know yet. */
  recentlyTerminated(): string[] {
    return this.terminated.recent(this.clock.now());
  }
}

/** All machines that are known to be up, from their workers' heartbeats and from the peers' gossip. */
import { GOSSIP_STALE_MS } from '../constants/gossip.js';
import { INVENTORY_VIEW_MS } from '../constants/inventory.js';
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

/** The machines as they were at one instant. */
interface InventoryView {
  /** Monotonic ms. */
  at: number;
  /** How many workers and peer reports it was made from: a machine that came or went makes it outdated at once. */
  workerCount: number;
  reportCount: number;
  all: Map<string, MachineInfo>;
  open: MachineInfo[];
}

/** This node's knowledge of machines and machine types. All times are monotonic ms of this node. */
export class MachineInventory {
  /** The machine types by name, as the records have them. */
  readonly catalog = new Map<string, MachineType>();
  /** Machines that are being returned to the cloud: no new tasks. */
  readonly scalingIn = new Set<string>();
  /** Machines that the cloud has confirmed terminated. */
  readonly terminated = new TerminatedMachines();
  private readonly peerReports = new PeerMachineReports();
  private readonly lateHeartbeats = new LateHeartbeats();
  private readonly own: OwnMachines;
  private readonly availability: MachineAvailability;
  private cachedView: InventoryView = { at: -Infinity, workerCount: 0, reportCount: 0, all: new Map(), open: [] };

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

  /** Whether the leader of the machine's partition, this node or one whose gossip arrives, has lately stated what it knows of it. */
  isCurrent(machineId: string): boolean {
    if (ownLeadershipOver(this.leadership, machineId) !== undefined) return true;
    return this.clock.now() - this.peerReports.statedAtOf(machineId) < GOSSIP_STALE_MS;
  }

  /** Stores what a peer states of a machine, as its partition's leader or relayed, as of `knownAt`. */
  applyPeerState(machine: MachineInfo, knownAt: number): void {
    if (!this.terminated.has(machine.machineId)) this.peerReports.apply(machine, knownAt);
  }

  /** Stores a newer heartbeat of an otherwise unchanged machine. False: what its leader stated before is not known here. */
  refreshPeerState(refresh: MachineRefresh, now: number): boolean {
    return this.terminated.has(refresh.machineId) || this.peerReports.refresh(refresh, now);
  }

  /** What peers have lately stated, to be relayed: the third node is the way round a network partition between two. */
  *recentPeerStates(
    isWanted: (partitionLeader: string) => boolean,
  ): Iterable<{ machine: MachineInfo; knownAt: number }> {
    for (const report of this.peerReports.recent(this.clock.now())) {
      const { machineId, partitionLeader } = report.machine;
      if (isWanted(partitionLeader) && !this.workerManager.workers.has(machineId)) yield report;
    }
  }

  /** What peers have stated of the machine. */
  peerStateOf(machineId: string): MachineInfo | undefined {
    return this.peerReports.machines.get(machineId);
  }

  /** The machines of the partitions led here. */
  ownMachines(): MachineInfo[] {
    return this.own.list();
  }

  agentEpochOf(machineId: string): number | undefined {
    return (this.workerManager.workers.get(machineId) ?? this.peerStateOf(machineId))?.agentEpoch;
  }

  /** One machine, as of this instant. */
  get(machineId: string): MachineInfo | undefined {
    return this.own.get(machineId) ?? this.peerStateOf(machineId);
  }

  /** Every machine, this node's own view first; the same for all callers within INVENTORY_VIEW_MS. */
  machines(): ReadonlyMap<string, MachineInfo> {
    return this.view().all;
  }

  /** The machines that new tasks may be placed on. */
  schedulableMachines(): MachineInfo[] {
    const { open } = this.view();
    return this.scalingIn.size === 0 ? [...open] : open.filter(({ machineId }) => !this.scalingIn.has(machineId));
  }

  /** Describing hundreds of machines for each caller would cost more than what the callers do with them. */
  private view(): InventoryView {
    const now = this.clock.now();
    const workerCount = this.workerManager.workers.size;
    const reportCount = this.peerReports.machines.size;
    const last = this.cachedView;
    const isSameCount = last.workerCount === workerCount && last.reportCount === reportCount;
    if (now - last.at < INVENTORY_VIEW_MS && isSameCount) return last;
    const all = new Map(this.peerReports.machines);
    for (const machine of this.ownMachines()) all.set(machine.machineId, machine);
    clearQuarantineOfFaultyJobs(all);
    const open = [...all.values()].filter((machine) => this.isSchedulable(machine));
    this.cachedView = { at: now, workerCount, reportCount, all, open };
    return this.cachedView;
  }

  /** Whether new tasks may be placed on the machine. */
  isSchedulable(machine: MachineInfo): boolean {
    return this.unavailableReasonOf(machine) === undefined;
  }

  /** Why no new tasks may be placed on the machine; undefined: they may. */
  unavailableReasonOf(machine: MachineInfo): UnavailableReason | undefined {
    return this.availability.unavailableReasonOf(machine);
  }

  /** Whether heartbeats of the machine are missing that should have been known here by now. */
  isSilent(machine: MachineInfo): boolean {
    return this.availability.isSilent(machine);
  }

  /** Whether a heartbeat that came to this node, although another one leads the partition, is a late copy. */
  isLate(workerStatus: WorkerStatus): boolean {
    return this.lateHeartbeats.isLate(workerStatus, this.peerStateOf(workerStatus.machineId));
  }

  /** Forgets machines that no peer has stated anything of for long. */
  prune(): void {
    this.peerReports.prune(this.clock.now());
  }

  /** The cloud has confirmed the machine terminated: forgets it for good. */
  markTerminated(machineId: string): void {
    if (this.terminated.has(machineId)) return;
    this.terminated.add(machineId, this.clock.now());
    this.peerReports.remove(machineId);
    this.workerManager.workers.remove(machineId);
  }

  /** Terminated machines that other nodes may not have learned of yet. */
  recentlyTerminated(): string[] {
    return this.terminated.recent(this.clock.now());
  }
}

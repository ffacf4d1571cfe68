import {
  FAULTY_JOB_LEAST,
  FAULTY_JOB_SHARE,
  INVENTORY_VIEW_MS,
  FORGET_MACHINE_MS,
  MISROUTED_WORKERS_KEPT,
  TERMINATED_MACHINES_KEPT,
} from '../constants/inventory.js';
import { GOSSIP_STALE_MS } from '../constants/gossip.js';
import { QUARANTINE_ERRORS, SILENT_HEARTBEATS } from '../constants/workers.js';
import type { Settings } from '../domain/settings.js';
import type { HeldLeadership, RoleLeadership } from '../leadership/role-leadership.js';
import { partitionRole } from '../domain/role.js';
import type { WorkerManager } from '../workers/worker-manager.js';
import type { MachineInfo } from '../domain/machine-state.js';
import { isNewerThan, type WorkerStatus } from '../workers/worker-wire-codec.js';
import type { Worker } from '../workers/worker.js';
import type { Clock } from '../net/clock.js';
import { MachineType } from '../domain/machine-type.js';

/** All machines that are known to be up, and the catalogue of their types. */
export class MachineInventory {
  private readonly reportedByPeers = new Map<string, MachineInfo>();
  catalog = new Map<string, MachineType>();
  /** Machines that are being given back: no new work. */
  readonly scalingIn = new Set<string>();

  constructor(
    private readonly settings: Settings,
    private readonly leadership: RoleLeadership,
    private readonly workerManager: WorkerManager,
    private readonly clock: Clock,
  ) {}

  /** Steady ms as of which the owner of each machine said what is told of it. */
  private readonly knownAt = new Map<string, number>();

  /** Does somebody who would know say just now what he knows of the machine? Old news prove nothing. */
  isCurrent(machineId: string): boolean {
    if (this.leadershipFor(machineId) !== undefined) return true;
    return this.clock.now() - (this.knownAt.get(machineId) ?? -Infinity) < GOSSIP_STALE_MS;
  }

  /** What a peer says of a machine, by itself or on behalf of the owner, as of `knownAt`. */
  applyPeerReport(machine: MachineInfo, knownAt: number): void {
    if (this.terminated.has(machine.machineId) || (this.knownAt.get(machine.machineId) ?? -Infinity) >= knownAt) return;
    this.knownAt.set(machine.machineId, knownAt);
    this.reportedByPeers.set(machine.machineId, machine);
  }

  /** The owner says that nothing is new but when it heard the machine. False: what it said before is not known here. */
  refreshPeerReport(
    machineId: string,
    partitionLeader: string,
    heardAt: number,
    sequence: number,
    now: number,
  ): boolean {
    const machine = this.reportedByPeers.get(machineId);
    if (this.terminated.has(machineId)) return true;
    if (machine?.partitionLeader !== partitionLeader || machine.spotNoticeUntil !== null) return false;
    machine.heardAt = heardAt;
    machine.sequence = sequence;
    this.knownAt.set(machineId, now);
    return true;
  }

  /** What others have said lately, to be passed on: a cut between two nodes is got round by way of the third. */
  *recentPeerReports(
    wanted: (partitionLeader: string) => boolean,
  ): Iterable<{ machine: MachineInfo; knownAt: number }> {
    for (const [machineId, machine] of this.reportedByPeers) {
      const knownAt = this.knownAt.get(machineId)!;
      const recentlyTerminated = this.clock.now() - knownAt < GOSSIP_STALE_MS;
      if (recentlyTerminated && wanted(machine.partitionLeader) && !this.workerManager.workers.has(machineId))
        yield { machine, knownAt };
    }
  }

  /** The machines of this node's own partitions. */
  ownMachines(): MachineInfo[] {
    const list = [...this.workerManager.workers.values()].map((worker) => this.describe(worker));
    // What a former owner said of machines that have not reported since: they count as heard when this node took over.
    for (const machine of this.reportedByPeers.values()) {
      const held = this.leadershipFor(machine.machineId);
      if (held === undefined || this.workerManager.workers.has(machine.machineId)) continue;
      list.push({ ...machine, heardAt: Math.max(machine.heardAt, held.term.at), partitionLeader: this.settings.node });
    }
    return list;
  }

  private leadershipFor(machineId: string): HeldLeadership | undefined {
    return this.leadership.leadershipOf(partitionRole(this.leadership.partitionOf(machineId)));
  }

  private describe(worker: Worker): MachineInfo {
    const now = this.clock.now();
    return {
      machineId: worker.machineId,
      endpoint: worker.endpoint,
      machineType: worker.machineType,
      zone: worker.zone,
      isSpot: worker.isSpot,
      agentEpoch: worker.agentEpoch,
      sequence: worker.sequence,
      heardAt: worker.lastHeartbeatAt,
      spotNoticeUntil: worker.spotNoticeUntil,
      isQuarantined: worker.isQuarantined(now),
      isBackingOff: now < worker.backoffUntil,
      isUnreached: !worker.isReached,
      isSlow: worker.isSlow(now),
      isMute: worker.hasExpiredDespiteHeartbeats(now, this.settings.cluster.workers.workerLeaseMs),
      images: [...worker.images.keys()],
      failedJobs: worker.failedJobs(now),
      partitionLeader: this.settings.node,
    };
  }

  agentEpochOf(machineId: string): number | undefined {
    return (this.workerManager.workers.get(machineId) ?? this.reportedByPeers.get(machineId))?.agentEpoch;
  }

  get(machineId: string): MachineInfo | undefined {
    const worker = this.workerManager.workers.get(machineId);
    return worker === undefined ? this.reportedByPeers.get(machineId) : this.describe(worker);
  }

  /** Every machine, this node's own view first; the same for all who ask within a moment. */
  machines(): ReadonlyMap<string, MachineInfo> {
    return this.view().all;
  }

  /** The machines that new work may go to. */
  openMachines(): MachineInfo[] {
    const { open } = this.view();
    return this.scalingIn.size === 0 ? [...open] : open.filter(({ machineId }) => !this.scalingIn.has(machineId));
  }

  private cachedView: {
    at: number;
    workers: number;
    told: number;
    all: Map<string, MachineInfo>;
    open: MachineInfo[];
  } = {
    at: -Infinity,
    workers: 0,
    told: 0,
    all: new Map(),
    open: [],
  };

  /** Describing hundreds of machines anew for each duty that looks at them would cost more than what they do with it. */
  private view() {
    const now = this.clock.now();
    const workers = this.workerManager.workers.size;
    const told = this.reportedByPeers.size;
    const last = this.cachedView;
    if (now - last.at < INVENTORY_VIEW_MS && last.workers === workers && last.told === told) return last;
    const all = new Map(this.reportedByPeers);
    for (const machine of this.ownMachines()) all.set(machine.machineId, machine);
    this.clearQuarantineOfFaultyJobs(all);
    const open = [...all.values()].filter((machine) => this.isOpen(machine));
    this.cachedView = { at: now, workers, told, all, open };
    return this.cachedView;
  }

  /** A job that fails on many machines was submitted with a mistake: no machine is sick for its failures. */
  private clearQuarantineOfFaultyJobs(machines: Map<string, MachineInfo>): void {
    const counts = new Map<string, number>();
    for (const { failedJobs } of machines.values()) {
      for (const job of failedJobs) counts.set(job, (counts.get(job) ?? 0) + 1);
    }
    const many = Math.max(FAULTY_JOB_LEAST, Math.ceil(machines.size * FAULTY_JOB_SHARE));
    for (const [machineId, machine] of machines) {
      if (!machine.isQuarantined) continue;
      const against = machine.failedJobs.filter((job) => counts.get(job)! < many);
      if (against.length < QUARANTINE_ERRORS) machines.set(machineId, { ...machine, isQuarantined: false });
    }
  }

  peerReportOf(machineId: string): MachineInfo | undefined {
    return this.reportedByPeers.get(machineId);
  }

  /** The newest report that a stranger has seen here, for telling late copies. */
  private readonly lastSeenHere = new Map<string, { agentEpoch: number; sequence: number }>();

  /** Is the report no newer than what this node, or by its word the owner, has heard? Remembers it if it is. */
  isLate(workerStatus: WorkerStatus): boolean {
    const older = (known: { agentEpoch: number; sequence: number } | undefined) =>
      known !== undefined && !isNewerThan(workerStatus, known);
    if (older(this.reportedByPeers.get(workerStatus.machineId)) || older(this.lastSeenHere.get(workerStatus.machineId)))
      return true;
    this.lastSeenHere.delete(workerStatus.machineId);
    this.lastSeenHere.set(workerStatus.machineId, {
      agentEpoch: workerStatus.agentEpoch,
      sequence: workerStatus.sequence,
    });
    if (this.lastSeenHere.size > MISROUTED_WORKERS_KEPT)
      this.lastSeenHere.delete(this.lastSeenHere.keys().next().value!);
    return false;
  }

  /** Forgets machines that nobody speaks of any more. */
  prune(): void {
    const now = this.clock.now();
    for (const [machineId, at] of this.knownAt) {
      if (now - at < FORGET_MACHINE_MS) continue;
      this.reportedByPeers.delete(machineId);
      this.knownAt.delete(machineId);
    }
  }

  /** Machines that the cloud has confirmed gone; names never come back. */
  readonly terminated = new Map<string, number>();

  markTerminated(machineId: string): void {
    if (this.terminated.has(machineId)) return;
    this.terminated.set(machineId, this.clock.now());
    if (this.terminated.size > TERMINATED_MACHINES_KEPT) this.terminated.delete(this.terminated.keys().next().value!);
    this.reportedByPeers.delete(machineId);
    this.knownAt.delete(machineId);
    this.workerManager.workers.remove(machineId);
  }

  /** What other nodes should forget as well. */
  recentlyTerminated(): string[] {
    const now = this.clock.now();
    return [...this.terminated].filter(([, at]) => now - at < FORGET_MACHINE_MS).map(([machineId]) => machineId);
  }

  isSilent(machine: MachineInfo): boolean {
    const allowed = SILENT_HEARTBEATS * this.settings.cluster.workers.heartbeatIntervalMs;
    const now = this.clock.now();
    if (this.leadershipFor(machine.machineId) !== undefined) return now - machine.heardAt > allowed;
    const knownAt = this.knownAt.get(machine.machineId) ?? -Infinity;
    const partitionLeader = this.leadership.leaderOf(partitionRole(this.leadership.partitionOf(machine.machineId)));
    // No word of an owner that still holds its claim: nodes don't hear each other, which says nothing of its machines.
    if (now - knownAt > GOSSIP_STALE_MS && partitionLeader === machine.partitionLeader)
      return knownAt - machine.heardAt > allowed;
    return now - machine.heardAt > allowed + GOSSIP_STALE_MS / 2;
  }

  /** May new work go there? */
  isOpen(machine: MachineInfo): boolean {
    return this.whyClosed(machine) === undefined;
  }

  /** Why no new work may go there. */
  whyClosed(machine: MachineInfo): string | undefined {
    if (!this.catalog.has(machine.machineType)) return 'unknown type';
    if (machine.spotNoticeUntil !== null) return 'warned';
    if (machine.isQuarantined) return 'sick';
    if (machine.isSlow) return 'slow';
    if (machine.isUnreached) return 'unreached';
    if (machine.isBackingOff) return 'cooling';
    if (this.scalingIn.has(machine.machineId)) return 'leaving';
    return this.isSilent(machine) ? 'silent' : undefined;
  }
}

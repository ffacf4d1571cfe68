import { type Count, maxCount } from '../domain/count.js';
import { AttemptRunTimes } from './attempt-run-times.js';
import { ImageCache } from './image-cache.js';
import { MachineHealth } from './machine-health.js';
import { MachineSlowness } from './machine-slowness.js';
import { SentLaunches } from './sent-launches.js';
import { type AnsweredHeartbeat, WorkerReachability } from './worker-reachability.js';
import { isNewerThan, type ReportedTask, type StatusVersion, type WorkerStatus } from './worker-wire-codec.js';

/**
 * What the leader of a partition knows of one of its workers: its identity, its newest status, and, in one component
 * each, what follows from its statuses. It is kept in memory only; heartbeats rebuild it.
 * Invariant: the version (`agentEpoch`, `sequence`) and `fencingToken` never decrease.
 */
export class Worker {
  tasks = new Map<string, ReportedTask>();
  endpoint = '';
  machineType = '';
  zone = '';
  isSpot = false;
  agentEpoch: Count = 0;
  sequence: Count = -1;
  /** Highest fencing token that the worker has reported. */
  fencingToken: Count = 0;
  /** Monotonic ms when the newest status arrived, in a heartbeat or a command response. */
  lastContactAt = -Infinity;
  /** Monotonic ms when the cloud reclaims the machine; null without a spot notice. */
  spotTerminationAt: number | null = null;

  readonly reachability = new WorkerReachability();
  readonly launches: SentLaunches;
  readonly health = new MachineHealth();
  readonly slowness = new MachineSlowness();
  readonly imageCache = new ImageCache();
  readonly runTimes = new AttemptRunTimes();

  /** @param unrecordedToken see `SentLaunches` */
  constructor(
    readonly machineId: string,
    unrecordedToken?: Count,
  ) {
    this.launches = new SentLaunches(unrecordedToken);
  }

  /** Whether this heartbeat or a newer one was answered before, or its agent epoch is over. */
  isLate(workerStatus: StatusVersion): boolean {
    return workerStatus.agentEpoch < this.agentEpoch || this.reachability.wasAnswered(workerStatus);
  }

  /**
   * Applies a status received at `now` (monotonic ms). Returns false, without any change, if it is not newer than the
   * last one.
   */
  applyStatus(workerStatus: WorkerStatus, now: number, isHeartbeat: boolean): boolean {
    if (!isNewerThan(workerStatus, this)) return false;
    const isFirstContact = this.sequence < 0;
    if (workerStatus.agentEpoch > this.agentEpoch) this.launches.clear();
    this.agentEpoch = workerStatus.agentEpoch;
    this.sequence = workerStatus.sequence;
    this.endpoint = workerStatus.endpoint;
    this.machineType = workerStatus.machineType;
    this.zone = workerStatus.zone;
    this.isSpot = workerStatus.isSpot;
    this.fencingToken = maxCount(this.fencingToken, workerStatus.fencingToken);
    this.tasks = workerStatus.tasks;
    this.spotTerminationAt = workerStatus.spotNoticeS === null ? null : now + workerStatus.spotNoticeS * 1000;
    this.lastContactAt = now;
    if (isFirstContact) this.reachability.lastHeartbeatAt = now;
    const presentAttempts = this.runTimes.update(this.tasks, now, isFirstContact);
    this.slowness.retainAttempts(presentAttempts);
    this.imageCache.retainAttempts(presentAttempts);
    this.launches.applyStatus({ fencingToken: this.fencingToken, sequence: this.sequence, isHeartbeat });
    return true;
  }

  /** Records that a heartbeat is about to be answered with 200; its status must be applied afterwards. */
  recordResponse(heartbeat: AnsweredHeartbeat): void {
    this.reachability.recordResponse(heartbeat, this.fencingToken);
  }

  // The rest is read by the inventory and the role rebalancer.

  /** Monotonic ms of the last heartbeat; before any heartbeat, of the first contact. */
  get lastHeartbeatAt(): number {
    return this.reachability.lastHeartbeatAt;
  }

  /** Whether responses reach the worker, as far as its heartbeats show. */
  get isReached(): boolean {
    return this.reachability.isReached(this.fencingToken);
  }

  /** Whether the worker sends heartbeats, but no response has reached it for so long that its lease has expired. */
  hasExpiredDespiteHeartbeats(now: number, leaseMs: number): boolean {
    return this.reachability.hasExpiredDespiteHeartbeats(now, leaseMs);
  }

  /** Monotonic ms until which the machine takes no new work because it refused a launch. */
  get backoffUntil(): number {
    return this.health.backoffUntil;
  }

  /** Whether the machine takes no new work because tasks of several jobs failed there. */
  isQuarantined(now: number): boolean {
    return this.health.isQuarantined(now);
  }

  /** Ids of jobs that should try other machines first, because their tasks failed here. */
  failedJobs(now: number): string[] {
    return this.health.failedJobs(now);
  }

  /** Whether the last tasks ran far longer here than their siblings elsewhere. */
  isSlow(now: number): boolean {
    return this.slowness.isSlow(now);
  }

  /** Sizes in GB of the images that the machine keeps, most recently used last. */
  get images(): ReadonlyMap<string, number> {
    return this.imageCache.images;
  }
}

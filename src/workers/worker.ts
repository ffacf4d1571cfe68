import { AttemptRunTimes } from './attempt-run-times.js';
import { ImageCache } from './image-cache.js';
import { MachineHealth } from './machine-health.js';
import { MachineSlowness } from './machine-slowness.js';
import { PendingLaunches } from './pending-launches.js';
import { type AnsweredHeartbeat, WorkerReachability } from './worker-reachability.js';
import { isNewerThan, type ReportedTask, type StatusVersion, type WorkerStatus } from './worker-wire-codec.js';

/**
 * What the leader of a partition knows of one of its workers: who it is and its newest status, and in a part each what follows
 * from its statuses. Lost with the process; heartbeats bring it back.
 * Invariant: version (`agentEpoch`, `sequence`) and `fencingToken` only grow.
 */
export class Worker {
  tasks = new Map<string, ReportedTask>();
  endpoint = '';
  machineType = '';
  zone = '';
  isSpot = false;
  agentEpoch = 0;
  sequence = -1;
  /** Highest fencing token that the worker has shown. */
  fencingToken = 0;
  /** Steady ms of the last newer status of whatever origin. */
  lastContactAt = -Infinity;
  /** Steady ms when the cloud takes the machine away. */
  spotNoticeUntil: number | null = null;

  readonly reachability = new WorkerReachability();
  readonly launches = new PendingLaunches();
  readonly health = new MachineHealth();
  readonly slowness = new MachineSlowness();
  readonly imageCache = new ImageCache();
  readonly runTimes = new AttemptRunTimes();

  constructor(readonly machineId: string) {}

  /** A copy of a heartbeat that was answered before, or one of an agent epoch that is over. */
  isLate(workerStatus: StatusVersion): boolean {
    return workerStatus.agentEpoch < this.agentEpoch || this.reachability.wasAnswered(workerStatus);
  }

  /** Takes a status in, received at `now` (steady ms). False: an older one, which changes nothing. */
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
    this.fencingToken = Math.max(this.fencingToken, workerStatus.fencingToken);
    this.tasks = workerStatus.tasks;
    this.spotNoticeUntil = workerStatus.spotNoticeS === null ? null : now + workerStatus.spotNoticeS * 1000;
    this.lastContactAt = now;
    if (isFirstContact) this.reachability.lastHeartbeatAt = now;
    const present = this.runTimes.update(this.tasks, now, isFirstContact);
    this.slowness.retainAttempts(present);
    this.imageCache.retainAttempts(present);
    this.launches.applyStatus({ fencingToken: this.fencingToken, sequence: this.sequence, isHeartbeat });
    return true;
  }

  /** A heartbeat is about to be answered with 200; its status is applied afterwards. */
  recordAnswer(answered: AnsweredHeartbeat): void {
    this.reachability.recordAnswer(answered, this.fencingToken);
  }

  // What the inventory and the role rebalancer read of a worker.

  /** Steady ms of its last heartbeat; until it has sent one, of the first contact. */
  get lastHeartbeatAt(): number {
    return this.reachability.lastHeartbeatAt;
  }

  /** Do answers reach the worker, as far as its heartbeats show? */
  get isReached(): boolean {
    return this.reachability.isReached(this.fencingToken);
  }

  /** It sends heartbeats, but no answer has reached it for so long that its lease has expired. */
  hasExpiredDespiteHeartbeats(now: number, leaseMs: number): boolean {
    return this.reachability.hasExpiredDespiteHeartbeats(now, leaseMs);
  }

  /** Steady ms until which no new work comes here after a launch was refused. */
  get backoffUntil(): number {
    return this.health.backoffUntil;
  }

  /** Does the machine take no new work, since tasks of several jobs failed there? */
  isQuarantined(now: number): boolean {
    return this.health.isQuarantined(now);
  }

  /** Jobs that are to look elsewhere first. */
  failedJobs(now: number): string[] {
    return this.health.failedJobs(now);
  }

  /** Did the last tasks run far longer here than their siblings elsewhere? */
  isSlow(now: number): boolean {
    return this.slowness.isSlow(now);
  }

  /** The images that the machine keeps, with their GB, most recently used last. */
  get images(): ReadonlyMap<string, number> {
    return this.imageCache.images;
  }
}

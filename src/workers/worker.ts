import {
  FAILED_JOB_BACKOFF_BASE_MS,
  FAILED_JOB_BACKOFF_MAX_MS,
  QUARANTINE_ERRORS,
  QUARANTINE_MS,
  SLOW_MACHINE_FACTOR,
  SLOW_MACHINE_MS,
  SLOW_MACHINE_TASKS,
} from '../constants/workers.js';
import { isNewerThan, type WorkerStatus, type ReportedTask } from './worker-wire-codec.js';
import { leaseOverAt } from '../domain/worker-deadlines.js';

/** What an owner knows of one worker of its part. Lost with the process; reports bring it back. */
export class Worker {
  tasks: Map<string, ReportedTask> = new Map();
  endpoint = '';
  machineType = '';
  zone = '';
  isSpot = false;
  agentEpoch = 0;
  sequence = -1;
  /** The newest report by `/hello`; answers of `/commands` may have brought newer ones. */
  private answeredHeartbeat = { agentEpoch: 0, sequence: -1 };
  /** Highest fence that the worker has shown. */
  fencingToken = 0;
  /** Steady ms of the receipt of the last report that was answered with 200. */
  answeredAt = -Infinity;
  /** Steady ms when anything was last heard. */
  lastContactAt = -Infinity;
  /**
   * Steady ms of its last report by itself; until it has sent one, when it was first heard. Answers of commands don't
   * count: a machine that can only answer loses its lease, and all that is sent there with it.
   */
  lastHeartbeatAt = -Infinity;
  /** Steady ms when the cloud takes the machine away. */
  spotNoticeUntil: number | null = null;
  /** Launches whose arrival is open: sent by /commands without an answer, with the fence they bore. */
  readonly unansweredLaunches = new Map<string, number>();
  /** Steady ms since when a launch of a cancelled task is open; undefined: none is. */
  cancelledLaunchOpenSince: number | undefined;
  /** Launches in the answer to a report, with that report's Tick. */
  readonly answeredLaunches = new Map<string, number>();
  /** The node by way of which the last report came; undefined: this one. */
  forwardedBy: string | undefined;
  /** The fence in the first answer to this worker: until it shows it, nothing proves that answers reach it. */
  private firstFencingToken: number | undefined;
  /** Steady ms of the receipt of the last report whose answer is known to have arrived. */
  private confirmedAt = -Infinity;
  /** It waited in vain for the answer to the report before its last one. */
  private hasMissedAnswer = false;
  /** Launches in an answer on its way: a command push leaves them alone. */
  isSendingCommands = false;
  mustSendAgain = false;

  /** Jobs whose tasks failed here in a row without a success in between. */
  private readonly failures = new Map<string, { count: number; at: number; until: number }>();
  quarantinedUntil = -Infinity;
  /** Steady ms until which no new work comes here after a refusal. */
  backoffUntil = -Infinity;
  /** How many times longer than their siblings the last tasks ran here. */
  private readonly runTimeRatios: number[] = [];
  private slowUntil = -Infinity;
  /** Attempts whose lateness has been counted already. */
  private readonly stragglers = new Set<string>();
  /** Attempts that were taken off because the machine is slow. */
  readonly evictedAttempts = new Set<string>();
  /** Steady ms when each attempt was first seen at all, and first seen running. */
  readonly firstSeen = new Map<string, number>();
  readonly runningSince = new Map<string, number>();
  /** Attempts that ran already when this worker was first heard: how long they take can't be told. */
  private readonly alreadyRunning = new Set<string>();
  /** Attempts whose image is noted. */
  private readonly attemptsWithNotedImage = new Set<string>();
  /** Bundles that were fetched here, most recently used last. */
  readonly images = new Map<string, number>();

  constructor(readonly machineId: string) {}

  /** A copy of a report that was answered before, or one of a session that is over. */
  isLate(workerStatus: WorkerStatus): boolean {
    return workerStatus.agentEpoch < this.agentEpoch || !isNewerThan(workerStatus, this.answeredHeartbeat);
  }

  private isNewer(workerStatus: WorkerStatus): boolean {
    return isNewerThan(workerStatus, this);
  }

  /** Takes a report in. False: an older one, which changes nothing. */
  applyStatus(workerStatus: WorkerStatus, now: number, isHello: boolean): boolean {
    if (!this.isNewer(workerStatus)) return false;
    const isFirst = this.sequence < 0;
    if (workerStatus.agentEpoch > this.agentEpoch) {
      this.unansweredLaunches.clear();
      this.answeredLaunches.clear();
    }
    this.agentEpoch = workerStatus.agentEpoch;
    this.sequence = workerStatus.sequence;
    this.endpoint = workerStatus.endpoint;
    this.machineType = workerStatus.machineType;
    this.zone = workerStatus.zone;
    this.isSpot = workerStatus.isSpot;
    this.fencingToken = Math.max(this.fencingToken, workerStatus.fencingToken);
    this.tasks = workerStatus.tasks;
    this.lastContactAt = now;
    if (isFirst) this.lastHeartbeatAt = now;
    this.recordRunTimes(now, isFirst);
    this.spotNoticeUntil = workerStatus.spotNoticeS === null ? null : now + workerStatus.spotNoticeS * 1000;
    for (const [key, fencingToken] of this.unansweredLaunches)
      if (fencingToken < this.fencingToken) this.unansweredLaunches.delete(key);
    for (const [key, sequence] of this.answeredLaunches)
      if (isHello && sequence < workerStatus.sequence) this.answeredLaunches.delete(key);
    return true;
  }

  /**
   * A report is about to be answered with 200. A worker that gets its answers stays with the node and reports in time; one
   * that waits in vain tries other nodes first. So a machine whose reports arrive, but which no answer reaches, is told
   * from a healthy one by its next report at the earliest.
   */
  recordAnswer(
    workerStatus: WorkerStatus,
    fencingToken: number,
    forwardedBy: string | undefined,
    lateMs: number,
    now: number,
  ): void {
    this.answeredHeartbeat = { agentEpoch: workerStatus.agentEpoch, sequence: workerStatus.sequence };
    this.lastHeartbeatAt = now;
    this.firstFencingToken ??= fencingToken;
    if (this.confirmedAt === -Infinity) this.confirmedAt = now;
    const isInTime = now - this.answeredAt <= lateMs;
    const showsNewToken = workerStatus.fencingToken > this.fencingToken;
    if (this.answeredAt > -Infinity) {
      this.hasMissedAnswer = !showsNewToken && !(isInTime && forwardedBy === this.forwardedBy);
      if (!this.hasMissedAnswer) this.confirmedAt = this.answeredAt;
    }
    this.forwardedBy = forwardedBy;
    this.answeredAt = now;
  }

  /** Orders reached it, by whatever way. */
  recordCommandsDelivered(): void {
    this.hasMissedAnswer = false;
  }

  /** Do answers reach the worker, as far as its reports show? A late copy of a report shows no such thing. */
  get isReached(): boolean {
    return !this.hasMissedAnswer && this.firstFencingToken !== undefined && this.fencingToken >= this.firstFencingToken;
  }

  /** It reports, but by all it shows no answer has reached it for so long that its lease has run out. */
  hasExpiredDespiteHeartbeats(now: number, leaseMs: number): boolean {
    return this.hasMissedAnswer && now > leaseOverAt(this.confirmedAt, leaseMs);
  }

  private recordRunTimes(now: number, isFirst: boolean): void {
    const present = new Set<string>();
    for (const [name, task] of this.tasks) {
      const key = `${name}#${task.attempt}`;
      present.add(key);
      if (!this.firstSeen.has(key)) this.firstSeen.set(key, now);
      if (task.state === 'running' && isFirst) this.alreadyRunning.add(key);
      if (task.state === 'running' && !this.alreadyRunning.has(key) && !this.runningSince.has(key)) {
        this.runningSince.set(key, now);
      }
    }
    for (const key of this.firstSeen.keys()) if (!present.has(key)) this.firstSeen.delete(key);
    for (const key of this.runningSince.keys()) if (!present.has(key)) this.runningSince.delete(key);
    for (const keys of [this.stragglers, this.evictedAttempts, this.alreadyRunning, this.attemptsWithNotedImage])
      for (const key of keys) if (!present.has(key)) keys.delete(key);
  }

  /** Each attempt is looked at once for its image. */
  markImageNoted(key: string): boolean {
    if (this.attemptsWithNotedImage.has(key)) return false;
    this.attemptsWithNotedImage.add(key);
    return true;
  }

  /** Is it certain that a launch of this attempt, absent from the last report, won't come any more? */
  isAbsenceFinal(key: string, fencingToken: number): boolean {
    return this.fencingToken === fencingToken && !this.unansweredLaunches.has(key) && !this.answeredLaunches.has(key);
  }

  /** An image was used here; the least recently used ones make room, as in the machine's own cache. */
  addImage(image: string, sizeGb: number, cacheGb: number): void {
    this.images.delete(image);
    this.images.set(image, sizeGb);
    let total = 0;
    for (const size of this.images.values()) total += size;
    for (const [old, size] of this.images) {
      if (total <= cacheGb || old === image) break;
      this.images.delete(old);
      total -= size;
    }
  }

  recordExit(jobId: string, ending: 'done' | 'failed', now: number): void {
    if (ending === 'done') {
      this.failures.clear();
      this.quarantinedUntil = -Infinity;
      return;
    }
    for (const [job, { at }] of this.failures) if (now - at > QUARANTINE_MS) this.failures.delete(job);
    const known = this.failures.get(jobId);
    // Tasks of one job that fail together count once.
    if (known !== undefined && now < known.until) return;
    const count = (known?.count ?? 0) + 1;
    const until = now + Math.min(FAILED_JOB_BACKOFF_MAX_MS, FAILED_JOB_BACKOFF_BASE_MS * 2 ** (count - 1));
    this.failures.set(jobId, { count, at: now, until });
    if (this.failures.size >= QUARANTINE_ERRORS) this.quarantinedUntil = now + QUARANTINE_MS;
  }

  /** Jobs that are to look elsewhere first; of a isQuarantined machine, all that make it so. */
  failedJobs(now: number): string[] {
    const isQuarantined = this.isQuarantined(now);
    return [...this.failures].filter(([, { until }]) => isQuarantined || now < until).map(([job]) => job);
  }

  /** A task took, or has taken so far, that many times the mean of its siblings; each attempt counts once. */
  recordRunTimeRatio(key: string, ratio: number, now: number): void {
    if (this.stragglers.has(key)) return;
    this.stragglers.add(key);
    this.runTimeRatios.push(ratio);
    if (this.runTimeRatios.length > SLOW_MACHINE_TASKS) this.runTimeRatios.shift();
    // One task that ran as long as others do speaks for the machine: jobs vary, a slow machine slows all.
    const areAllSlow =
      this.runTimeRatios.length === SLOW_MACHINE_TASKS &&
      this.runTimeRatios.every((each) => each > SLOW_MACHINE_FACTOR);
    if (areAllSlow) this.slowUntil = now + SLOW_MACHINE_MS;
  }

  /** Slow for a while: then it gets another chance, since nothing else would show that it has recovered. */
  isSlow(now: number): boolean {
    if (now >= this.slowUntil && this.slowUntil > -Infinity) {
      this.slowUntil = -Infinity;
      this.runTimeRatios.length = 0;
    }
    return now < this.slowUntil;
  }

  isQuarantined(now: number): boolean {
    return now < this.quarantinedUntil;
  }
}

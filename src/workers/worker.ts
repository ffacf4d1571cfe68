import {
  ANSWER_MISSED_MS,
  CLOCK_DRIFT,
  LEASE_MARGIN_MS,
  ROUND_TRIP_MS,
  SHUN_BASE_MS,
  SHUN_MAX_MS,
  SICK_ERRORS,
  SICK_MS,
  SLOW_FACTOR,
  SLOW_MS,
  SLOW_TASKS,
} from '../constants.js';
import type { Settings } from '../config/settings.js';
import { isNewerThan, type Report, type ReportedTask } from './report.js';

/** What an owner knows of one worker of its part. Lost with the process; reports bring it back. */
export class Worker {
  tasks: Map<string, ReportedTask> = new Map();
  endpoint = '';
  flavor = '';
  site = '';
  reclaimable = false;
  tenure = 0;
  tick = -1;
  /** The newest report by `/hello`; answers of `/commands` may have brought newer ones. */
  private hello = { tenure: 0, tick: -1 };
  /** Highest fence that the worker has shown. */
  fence = 0;
  /** Steady ms of the receipt of the last report that was answered with 200. */
  answeredAt = -Infinity;
  /** Steady ms when anything was last heard. */
  heardAt = -Infinity;
  /**
   * Steady ms of its last report by itself; until it has sent one, when it was first heard. Answers of commands don't
   * count: a machine that can only answer loses its lease, and all that is sent there with it.
   */
  reportedAt = -Infinity;
  /** Steady ms when the cloud takes the machine away. */
  warnedUntil: number | null = null;
  /** Launches whose arrival is open: sent by /commands without an answer, with the fence they bore. */
  readonly openCommands = new Map<string, number>();
  /** Steady ms since when a launch of a cancelled task is open; undefined: none is. */
  openSince: number | undefined;
  /** Launches in the answer to a report, with that report's Tick. */
  readonly answeredLaunches = new Map<string, number>();
  /** The node by way of which the last report came; undefined: this one. */
  door: string | undefined;
  /** The fence in the first answer to this worker: until it shows it, nothing proves that answers reach it. */
  private firstFence: number | undefined;
  /** Steady ms of the receipt of the last report whose answer is known to have arrived. */
  private confirmedAt = -Infinity;
  /** It waited in vain for the answer to the report before its last one. */
  private missed = false;
  /** Launches in an answer on its way: a command push leaves them alone. */
  pushing = false;
  pushAgain = false;

  /** Jobs whose tasks failed here in a row without a success in between. */
  private readonly failures = new Map<string, { count: number; at: number; until: number }>();
  sickUntil = -Infinity;
  /** Steady ms until which no new work comes here after a refusal. */
  coolUntil = -Infinity;
  /** How many times longer than their siblings the last tasks ran here. */
  private readonly ratios: number[] = [];
  private slowUntil = -Infinity;
  /** Attempts whose lateness has been counted already. */
  private readonly stragglers = new Set<string>();
  /** Attempts that were taken off because the machine is slow. */
  readonly relieved = new Set<string>();
  /** Steady ms when each attempt was first seen at all, and first seen running. */
  readonly firstSeen = new Map<string, number>();
  readonly runningSince = new Map<string, number>();
  /** Attempts that ran already when this worker was first heard: how long they take can't be told. */
  private readonly midway = new Set<string>();
  /** Attempts whose image is noted. */
  private readonly looked = new Set<string>();
  /** Bundles that were fetched here, most recently used last. */
  readonly images = new Map<string, number>();

  constructor(readonly host: string) {}

  /** A copy of a report that was answered before, or one of a session that is over. */
  isLate(report: Report): boolean {
    return report.tenure < this.tenure || !isNewerThan(report, this.hello);
  }

  private isNewer(report: Report): boolean {
    return isNewerThan(report, this);
  }

  /** Takes a report in. False: an older one, which changes nothing. */
  take(report: Report, now: number, isHello: boolean): boolean {
    if (!this.isNewer(report)) return false;
    const first = this.tick < 0;
    if (report.tenure > this.tenure) {
      this.openCommands.clear();
      this.answeredLaunches.clear();
    }
    this.tenure = report.tenure;
    this.tick = report.tick;
    this.endpoint = report.endpoint;
    this.flavor = report.flavor;
    this.site = report.site;
    this.reclaimable = report.reclaimable;
    this.fence = Math.max(this.fence, report.fence);
    this.tasks = report.tasks;
    this.heardAt = now;
    if (first) this.reportedAt = now;
    this.noteTimes(now, first);
    this.warnedUntil = report.warningS === null ? null : now + report.warningS * 1000;
    for (const [key, fence] of this.openCommands) if (fence < this.fence) this.openCommands.delete(key);
    for (const [key, tick] of this.answeredLaunches)
      if (isHello && tick < report.tick) this.answeredLaunches.delete(key);
    return true;
  }

  /**
   * A report is about to be answered with 200. A worker that gets its answers stays with the node and reports in time; one
   * that waits in vain tries other nodes first. So a machine whose reports arrive, but which no answer reaches, is told
   * from a healthy one by its next report at the earliest.
   */
  noteAnswer(report: Report, fence: number, door: string | undefined, lateMs: number, now: number): void {
    this.hello = { tenure: report.tenure, tick: report.tick };
    this.reportedAt = now;
    this.firstFence ??= fence;
    if (this.confirmedAt === -Infinity) this.confirmedAt = now;
    const inTime = now - this.answeredAt <= lateMs;
    const showsMore = report.fence > this.fence;
    if (this.answeredAt > -Infinity) {
      this.missed = !showsMore && !(inTime && door === this.door);
      if (!this.missed) this.confirmedAt = this.answeredAt;
    }
    this.door = door;
    this.answeredAt = now;
  }

  /** Orders reached it, by whatever way. */
  noteReached(): void {
    this.missed = false;
  }

  /** Do answers reach the worker, as far as its reports show? A late copy of a report shows no such thing. */
  get isReached(): boolean {
    return !this.missed && this.firstFence !== undefined && this.fence >= this.firstFence;
  }

  /** It reports, but by all it shows no answer has reached it for so long that its lease has run out. */
  isMute(now: number, leaseS: number): boolean {
    return this.missed && now > leaseOverAt(this.confirmedAt, leaseS);
  }

  private noteTimes(now: number, first: boolean): void {
    const present = new Set<string>();
    for (const [name, task] of this.tasks) {
      const key = `${name}#${task.attempt}`;
      present.add(key);
      if (!this.firstSeen.has(key)) this.firstSeen.set(key, now);
      if (task.phase === 'running' && first) this.midway.add(key);
      if (task.phase === 'running' && !this.midway.has(key) && !this.runningSince.has(key)) {
        this.runningSince.set(key, now);
      }
    }
    for (const key of this.firstSeen.keys()) if (!present.has(key)) this.firstSeen.delete(key);
    for (const key of this.runningSince.keys()) if (!present.has(key)) this.runningSince.delete(key);
    for (const keys of [this.stragglers, this.relieved, this.midway, this.looked])
      for (const key of keys) if (!present.has(key)) keys.delete(key);
  }

  /** Each attempt is looked at once for its image. */
  isFirstLook(key: string): boolean {
    if (this.looked.has(key)) return false;
    this.looked.add(key);
    return true;
  }

  /** Is it certain that a launch of this attempt, absent from the last report, won't come any more? */
  isAbsenceFinal(key: string, fence: number): boolean {
    return this.fence === fence && !this.openCommands.has(key) && !this.answeredLaunches.has(key);
  }

  /** An image was used here; the least recently used ones make room, as in the machine's own cache. */
  noteImage(bundle: string, sizeGb: number, cacheGb: number): void {
    this.images.delete(bundle);
    this.images.set(bundle, sizeGb);
    let total = 0;
    for (const size of this.images.values()) total += size;
    for (const [old, size] of this.images) {
      if (total <= cacheGb || old === bundle) break;
      this.images.delete(old);
      total -= size;
    }
  }

  noteExit(ref: string, ending: 'done' | 'failed', now: number): void {
    if (ending === 'done') {
      this.failures.clear();
      this.sickUntil = -Infinity;
      return;
    }
    for (const [job, { at }] of this.failures) if (now - at > SICK_MS) this.failures.delete(job);
    const known = this.failures.get(ref);
    // Tasks of one job that fail together count once.
    if (known !== undefined && now < known.until) return;
    const count = (known?.count ?? 0) + 1;
    const until = now + Math.min(SHUN_MAX_MS, SHUN_BASE_MS * 2 ** (count - 1));
    this.failures.set(ref, { count, at: now, until });
    if (this.failures.size >= SICK_ERRORS) this.sickUntil = now + SICK_MS;
  }

  /** Jobs that are to look elsewhere first; of a sick machine, all that make it so. */
  failedJobs(now: number): string[] {
    const sick = this.isSick(now);
    return [...this.failures].filter(([, { until }]) => sick || now < until).map(([job]) => job);
  }

  /** A task took, or has taken so far, that many times the mean of its siblings; each attempt counts once. */
  noteRatio(key: string, ratio: number, now: number): void {
    if (this.stragglers.has(key)) return;
    this.stragglers.add(key);
    this.ratios.push(ratio);
    if (this.ratios.length > SLOW_TASKS) this.ratios.shift();
    // One task that ran as long as others do speaks for the machine: jobs vary, a slow machine slows all.
    const all = this.ratios.length === SLOW_TASKS && this.ratios.every((each) => each > SLOW_FACTOR);
    if (all) this.slowUntil = now + SLOW_MS;
  }

  /** Slow for a while: then it gets another chance, since nothing else would show that it has recovered. */
  isSlow(now: number): boolean {
    if (now >= this.slowUntil && this.slowUntil > -Infinity) {
      this.slowUntil = -Infinity;
      this.ratios.length = 0;
    }
    return now < this.slowUntil;
  }

  isSick(now: number): boolean {
    return now < this.sickUntil;
  }
}

/**
 * Steady ms at which a worker's lease is certainly over, if nobody answers it again: counted from the receipt of the
 * last report that anybody could have answered, with the clocks' drift and a margin.
 */
export const leaseOverAt = (lastAnswerableMs: number, leaseS: number): number =>
  lastAnswerableMs + leaseS * 1000 * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS;

/** ms after a report by which the next is late. */
export const reportLateMs = (workers: Settings['cluster']['workers']): number =>
  1.25 * workers.report_s * 1000 + ANSWER_MISSED_MS;

/** ms of silence after which a worker that lives would have knocked at another node. */
export const silenceLimitMs = (workers: Settings['cluster']['workers']): number =>
  1.25 * workers.report_s * 1000 + ROUND_TRIP_MS;

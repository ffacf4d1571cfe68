/** A cluster of real controller processes with thousands of stand-in workers, a fault, and users who keep asking. */
import type { UserAnswer } from './answer-checker.js';
import { unreferencedClock } from './loopback-clock.js';
import { LoopbackCluster } from './loopback-cluster.js';
import type { LoopbackUser } from './loopback-users.js';
import type { Submission } from './submission-wire-codec.js';

/** What is lost: all controllers for longer than the workers' lease, or all but one. */
export type ScaleFault = 'all' | 'all-but-one';

/** Size and fault of a run. */
export interface ScaleOptions {
  machines: number;
  /** Sockets that each controller may have open. */
  sockets: number;
  fault: ScaleFault;
  /** Duration of the observation after the fault, ms. */
  observedMs: number;
}

/** What the users saw after the fault. */
export interface ScaleResult {
  jobs: number;
  answered: number;
  unanswered: number;
  /** Longest time for which no question about a job was answered, counted from the end of the fault, ms. */
  longestUnansweredMs: number;
  /** Status of the answers, with their numbers. */
  statuses: Record<string, number>;
  removalsByLoadBalancer: number;
  /** The last "node status" line of each controller. */
  statusLines: string[];
  unexpectedExits: string[];
}

const NODES = 3;
const TIMINGS = { heartbeatS: 5, leaseS: 32, cancelS: 52 };
const RUN_MS = 30_000;
/** Services that are submitted per machine, and the pause between two submissions. */
const SERVICES_PER_MACHINE = 0.5;
const SUBMIT_PERIOD_MS = 25;
const ARRAY_PERIOD_MS = 1000;
const START_LIMIT_MS = 60_000;
const SETTLING_MS = 30_000;
const FAULT_MS = 40_000;
const IMAGES = 16;

/** The answers to queries after the fault. */
class QueryStatistics {
  answered = 0;
  unanswered = 0;
  longestUnansweredMs = 0;
  readonly statuses: Record<string, number> = {};
  private readonly unansweredSince = new Map<string, number>();
  private faultEndedAt = Infinity;

  faultEnded(at: number): void {
    this.faultEndedAt = at;
    for (const jobId of this.unansweredSince.keys()) this.unansweredSince.set(jobId, at);
  }

  record({ kind, jobId, requestedAt, at, status }: UserAnswer): void {
    if (kind !== 'poll') return;
    const isAnswered = status === 200 || status === 404;
    if (isAnswered) this.unansweredSince.delete(jobId);
    else if (!this.unansweredSince.has(jobId)) this.unansweredSince.set(jobId, requestedAt);
    if (at < this.faultEndedAt) return;
    this.statuses[status] = (this.statuses[status] ?? 0) + 1;
    if (isAnswered) this.answered++;
    else this.unanswered++;
    const since = this.unansweredSince.get(jobId) ?? at;
    this.longestUnansweredMs = Math.max(this.longestUnansweredMs, at - since);
  }
}

/** One run at size. */
class ScaleRun {
  private readonly cluster: LoopbackCluster;
  private readonly statistics = new QueryStatistics();
  private readonly users: LoopbackUser[] = [];

  constructor(private readonly options: ScaleOptions) {
    const { machines, sockets } = options;
    this.cluster = new LoopbackCluster({
      ...{ nodes: NODES, machines, sockets, tuning: 'deploy/tuning.toml', runMs: RUN_MS },
      ...{ timings: TIMINGS, checksPlacements: false },
    });
  }

  private async playUser(fields: Partial<Submission>): Promise<void> {
    const { cluster, statistics } = this;
    const { jobId, body } = cluster.createJob(fields);
    const user = cluster.createUser(jobId, { onAnswer: (answer) => statistics.record(answer) });
    this.users.push(user);
    await user.submit(body, cluster.signal);
    if (user.isAccepted) await user.pollUntilFinished(cluster.signal);
    user.close();
  }

  private async submitServices(): Promise<void> {
    const count = Math.ceil(this.options.machines * SERVICES_PER_MACHINE);
    for (let n = 0; n < count; n++) {
      const image = `img-${n % IMAGES}`;
      const fields = { kind: 'service', priority: 'prod', taskCount: 4, cpus: 2, spreadAcrossZones: true } as const;
      void this.playUser({ ...fields, image });
      await unreferencedClock.sleep(SUBMIT_PERIOD_MS, this.cluster.signal);
    }
  }

  private async submitArrays(): Promise<void> {
    while (!this.cluster.signal.aborted) {
      void this.playUser({ kind: 'array', taskCount: 40, cpus: 2, image: 'img-batch' });
      await unreferencedClock.sleep(ARRAY_PERIOD_MS, this.cluster.signal);
    }
  }

  private async playFault(): Promise<void> {
    const lost = Array.from({ length: NODES }, (_, index) => index).slice(this.options.fault === 'all' ? 0 : 1);
    for (const index of lost) this.cluster.signalController(index, 'SIGKILL');
    await unreferencedClock.sleep(FAULT_MS);
    for (const index of lost) this.cluster.startController(index);
  }

  async play(): Promise<ScaleResult> {
    const { cluster } = this;
    try {
      await cluster.start();
      await cluster.until(() => cluster.claimOf('leader') !== undefined, 'a leader', START_LIMIT_MS);
      void this.submitArrays();
      await this.submitServices();
      await unreferencedClock.sleep(SETTLING_MS);
      await this.playFault();
      this.statistics.faultEnded(unreferencedClock.now());
      await unreferencedClock.sleep(this.options.observedMs);
      return this.result();
    } finally {
      cluster.stop();
    }
  }

  private result(): ScaleResult {
    const { answered, unanswered, longestUnansweredMs, statuses } = this.statistics;
    const { balancer, processes } = this.cluster;
    return {
      jobs: this.users.filter((user) => user.isAccepted).length,
      ...{ answered, unanswered, longestUnansweredMs, statuses },
      removalsByLoadBalancer: balancer.changes.filter(({ isHealthy }) => !isHealthy).length,
      statusLines: Array.from({ length: NODES }, (_, index) => this.lastStatusOf(index)),
      unexpectedExits: processes.unexpectedExits.map(({ node, reason }) => `n${node}: ${reason}`),
    };
  }

  private lastStatusOf(index: number): string {
    const lines = this.cluster.processes.logLines.filter(
      ({ node, text }) => node === index && text.includes('node status'),
    );
    return lines.at(-1)?.text ?? `n${index} has logged no status`;
  }
}

/** Plays one run. */
export const playScale = (options: ScaleOptions): Promise<ScaleResult> => new ScaleRun(options).play();

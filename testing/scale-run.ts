/** A cluster of real controller processes with thousands of stand-in workers, a fault, and users who keep asking. */
import type { UserAnswer } from './answer-checker.js';
import { limitToShare, type SendSignal } from './duty-cycle.js';
import type { StoreLimits } from './fake-store.js';
import { unreferencedClock } from './loopback-clock.js';
import { LoopbackCluster } from './loopback-cluster.js';
import type { LoopbackUser } from './loopback-users.js';
import { RequestTrace } from './request-trace.js';
import type { Submission } from './submission-wire-codec.js';

/** What is lost: all controllers for longer than the workers' lease, or all but one. */
export type ScaleFault = 'all' | 'all-but-one';

/**
 * `ample`: controllers with a core each, a store without enforced limits, 11,000 tasks at 4,000 machines. `limited`: controllers
 * with a share of a core, a store with limits on requests and writes, 40,000 tasks, and jobs that wait for others.
 */
export type ScaleProfile = 'ample' | 'limited';

/** Size and fault of a run. */
export interface ScaleOptions {
  machines: number;
  /** Sockets that each controller may have open. */
  sockets: number;
  fault: ScaleFault;
  profile: ScaleProfile;
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
  /** The jobs about which no question was answered for as long as it takes to count as forgotten. */
  forgottenJobs: number;
  /** What became of queries and health checks, a line for each few seconds. */
  traceLines: string[];
  /** The "node status" lines of all controllers. */
  statusLines: string[];
  unexpectedExits: string[];
}

const NODES = 3;
const TIMINGS = { heartbeatS: 5, leaseS: 32, cancelS: 52 };
const RUN_MS = 30_000;

/** The load and limits of a profile. */
interface ProfileValues {
  servicesPerMachine: number;
  service: Pick<Submission, 'taskCount' | 'cpus'>;
  /** Share of the arrays that wait for the one before. */
  waitingShare: number;
  /** Share of a core that each controller gets. */
  controllerShare: number;
  storeLimits?: Required<StoreLimits>;
}

const PROFILES: Readonly<Record<ScaleProfile, ProfileValues>> = {
  ample: {
    servicesPerMachine: 0.5,
    service: { taskCount: 4, cpus: 2 },
    waitingShare: 0,
    controllerShare: 1,
  },
  limited: {
    servicesPerMachine: 0.75,
    service: { taskCount: 12, cpus: 0.5 },
    waitingShare: 0.3,
    controllerShare: 0.5,
    storeLimits: { requestsPerSecond: 900, writesPerSecond: 400, valueBytes: 4096, transactionWrites: 12 },
  },
};

/** Pause between two submissions. */
const SUBMIT_PERIOD_MS = 25;
const ARRAY_PERIOD_MS = 1000;
const START_LIMIT_MS = 60_000;
const SETTLING_MS = 30_000;
const FAULT_MS = 40_000;
const IMAGES = 16;

/** By the protocol a job counts as forgotten if no question about it is answered for so long after the last fault. */
export const MAX_UNANSWERED_MS = 75_000;

/** The answers to queries after the fault. */
class QueryStatistics {
  answered = 0;
  unanswered = 0;
  longestUnansweredMs = 0;
  readonly forgottenJobs = new Set<string>();
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
    if (at - since >= MAX_UNANSWERED_MS) this.forgottenJobs.add(jobId);
  }
}

/** One run at size. */
class ScaleRun {
  private readonly cluster: LoopbackCluster;
  private readonly profile: ProfileValues;
  private readonly statistics = new QueryStatistics();
  private readonly users: LoopbackUser[] = [];
  private readonly trace = new RequestTrace(unreferencedClock, () => this.cluster.balancer);

  constructor(private readonly options: ScaleOptions) {
    const { machines, sockets, profile } = options;
    this.profile = PROFILES[profile];
    const { storeLimits } = this.profile;
    this.cluster = new LoopbackCluster({
      ...{ nodes: NODES, machines, sockets, tuning: 'deploy/tuning.toml', runMs: RUN_MS },
      ...{ timings: TIMINGS, checksPlacements: false },
      ...(storeLimits === undefined ? {} : { storeLimits }),
    });
  }

  private async playUser(fields: Partial<Submission>): Promise<void> {
    await this.playJob(this.cluster.createJob(fields));
  }

  private async playJob({ jobId, body }: { jobId: string; body: object }): Promise<void> {
    const { cluster, statistics } = this;
    const onAnswer = (answer: UserAnswer): void => {
      statistics.record(answer);
      if (answer.kind === 'poll') this.trace.queryEnded(answer.failure ?? String(answer.status));
    };
    const user = cluster.createUser(jobId, { onAnswer });
    this.users.push(user);
    await user.submit(body, cluster.signal);
    if (user.isAccepted) await user.pollUntilFinished(cluster.signal);
    user.close();
  }

  private async submitServices(): Promise<void> {
    const count = Math.ceil(this.options.machines * this.profile.servicesPerMachine);
    for (let n = 0; n < count; n++) {
      const image = `img-${n % IMAGES}`;
      const fields = { kind: 'service', priority: 'prod', ...this.profile.service, spreadAcrossZones: true } as const;
      void this.playUser({ ...fields, image });
      await unreferencedClock.sleep(SUBMIT_PERIOD_MS, this.cluster.signal);
    }
  }

  private async submitArrays(): Promise<void> {
    const { cluster, profile } = this;
    let former: string | undefined;
    while (!cluster.signal.aborted) {
      const isWaiting = former !== undefined && cluster.random.float() < profile.waitingShare;
      const fields = { kind: 'array', taskCount: 40, cpus: 2, image: 'img-batch' } as const;
      const job = cluster.createJob(isWaiting ? { ...fields, dependencies: [former!] } : fields);
      former = job.jobId;
      void this.playJob(job);
      await unreferencedClock.sleep(ARRAY_PERIOD_MS, cluster.signal);
    }
  }

  private limitControllers(): void {
    const { controllerShare } = this.profile;
    if (controllerShare === 1) return;
    for (let index = 0; index < NODES; index++) {
      const send: SendSignal = (signal) => this.cluster.signalController(index, signal);
      void limitToShare(controllerShare, send, unreferencedClock, this.cluster.signal);
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
      void this.trace.run(cluster.signal);
      this.limitControllers();
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
      forgottenJobs: this.statistics.forgottenJobs.size,
      traceLines: this.trace.lines,
      statusLines: this.statusLines(),
      unexpectedExits: processes.unexpectedExits.map(({ node, reason }) => `n${node}: ${reason}`),
    };
  }

  private statusLines(): string[] {
    const lines = this.cluster.processes.logLines.filter(({ text }) => text.includes('node status'));
    return lines.map(({ at, node, text }) => `${Math.round(at)} n${node} ${text}`);
  }
}

/** Plays one run. */
export const playScale = (options: ScaleOptions): Promise<ScaleResult> => new ScaleRun(options).play();

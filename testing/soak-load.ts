/** The users of a soak run: they submit, cancel, ask and repeat at all controllers throughout. */
import { setMaxListeners } from 'node:events';

import type { Clock } from '../src/net/clock.js';
import type { UserAnswer } from './answer-checker.js';
import type { LoopbackCluster } from './loopback-cluster.js';
import type { LoopbackUser } from './loopback-users.js';
import type { Submission } from './submission-wire-codec.js';

const SUBMIT_PERIOD_MS = 400;
const CANCELLED_SHARE = 0.25;
const REPEATED_SHARE = 0.2;
const LONGEST_TIME_TO_CANCEL_MS = 8000;
/** Period at which a job's user asks: more often than real users, since a run is shorter. */
const POLL_PERIOD_MS = 1000;

const SHAPES: readonly Partial<Submission>[] = [
  { kind: 'array', taskCount: 4, cpus: 1 },
  { kind: 'gang', priority: 'high', taskCount: 2, cpus: 2 },
  { kind: 'service', priority: 'prod', taskCount: 3, cpus: 1, spreadAcrossZones: true },
  { kind: 'array', taskCount: 1, cpus: 2, priority: 'low' },
];

interface SoakUser {
  user: LoopbackUser;
  /** Start of the last poll with a 200, monotonic ms. */
  answeredPollAt: number;
}

/** Submits jobs, and tracks which of them are answered. */
export class SoakLoad {
  private readonly users: SoakUser[] = [];
  private readonly submitting = new AbortController();
  private readonly pending = new Set<Promise<void>>();

  constructor(
    private readonly cluster: LoopbackCluster,
    private readonly clock: Clock,
  ) {
    setMaxListeners(0, this.submitting.signal);
  }

  /** Submits jobs until `endSubmissions`. */
  async submitJobs(): Promise<void> {
    const { random } = this.cluster;
    while (!this.submitting.signal.aborted) {
      const work = this.playUser(SHAPES[random.intBelow(SHAPES.length)]!);
      this.pending.add(work);
      void work.finally(() => this.pending.delete(work));
      await this.clock.sleep(SUBMIT_PERIOD_MS, this.submitting.signal);
    }
  }

  endSubmissions(): void {
    this.submitting.abort();
  }

  private async playUser(fields: Partial<Submission>): Promise<void> {
    const { cluster, clock } = this;
    const { random, signal } = cluster;
    const { jobId, body } = cluster.createJob(fields);
    const soakUser: SoakUser = { user: cluster.createUser(jobId, { onAnswer: record }), answeredPollAt: -Infinity };
    function record(answer: UserAnswer): void {
      cluster.checker.answerReceived(answer);
      if (answer.kind === 'poll' && answer.status === 200) soakUser.answeredPollAt = answer.requestedAt;
    }
    const { user } = soakUser;
    this.users.push(soakUser);
    await user.submit(body, signal);
    if (!user.isAccepted) return;
    void this.askRepeatedly(user);
    if (random.float() < REPEATED_SHARE) await cluster.createUser(jobId).submit(body, signal);
    if (random.float() >= CANCELLED_SHARE) return;
    await clock.sleep(random.float() * LONGEST_TIME_TO_CANCEL_MS, signal);
    cluster.checker.cancelRequested(clock.now(), jobId);
    await user.cancel(signal);
  }

  /** Asks on a new connection each time, so that all controllers are asked. */
  private async askRepeatedly(user: LoopbackUser): Promise<void> {
    const { random, signal } = this.cluster;
    while (!signal.aborted) {
      await this.clock.sleep(random.jitter(POLL_PERIOD_MS), signal);
      if (signal.aborted) return;
      await user.poll();
      user.close();
    }
  }

  get isSubmissionOver(): boolean {
    return this.submitting.signal.aborted && this.pending.size === 0;
  }

  /** The accepted jobs without an answer to a poll that was sent after the given time. */
  unansweredSince(at: number): string[] {
    return this.users
      .filter(({ user, answeredPollAt }) => user.isAccepted && answeredPollAt < at)
      .map(({ user }) => user.jobId);
  }

  get acceptedCount(): number {
    return this.users.filter(({ user }) => user.isAccepted).length;
  }
}

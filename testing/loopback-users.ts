/** Users of controllers in processes of their own: each job has a user with a connection through the load balancer. */
import type { Clock } from '../src/net/clock.js';
import type { HttpResponse } from '../src/net/http-client.js';
import type { Random } from '../src/net/random.js';
import type { UserAnswer } from './answer-checker.js';
import { decodeJobState } from './job-status-wire-codec.js';
import { type ConnectionFailure, type ConnectionRequest, KeepAliveConnection } from './keep-alive-connection.js';
import type { BalancedConnection, LoadBalancer } from './load-balancer.js';

const RETRY_LIMIT_MS = 60_000;
const RETRY_PAUSE_MS = 1000;
const SUBMIT_TIMEOUT_MS = 5000;
const POLL_TIMEOUT_MS = 2000;
const POLL_PERIOD_MS = 5000;

/** What the users need. */
export interface LoopbackUsersDependencies {
  addresses: readonly string[];
  balancer: LoadBalancer;
  clock: Clock;
  random: Random;
  /** Called with each answer, and with the absence of one. */
  onAnswer(answer: UserAnswer): void;
}

/** A connection to the node that the load balancer has chosen for it. */
class UserConnection implements BalancedConnection {
  private readonly connection = new KeepAliveConnection();
  isReset = false;

  constructor(
    readonly node: number,
    private readonly onClosed: (connection: UserConnection) => void,
  ) {}

  send(request: ConnectionRequest): Promise<HttpResponse | undefined> {
    return this.connection.send(request);
  }

  get lastFailure(): ConnectionFailure | undefined {
    return this.connection.lastFailure;
  }

  reset(): void {
    if (this.isReset) return;
    this.isReset = true;
    this.connection.close();
    this.onClosed(this);
  }
}

/** The user of one job. */
export class LoopbackUser {
  private connection: UserConnection | undefined;
  /** The last state that the user was told. */
  state: string | undefined;
  isAccepted = false;

  constructor(
    readonly jobId: string,
    private readonly dependencies: LoopbackUsersDependencies,
  ) {}

  get isFinished(): boolean {
    return this.state === 'done' || this.state === 'cancelled';
  }

  private connect(): UserConnection | undefined {
    if (this.connection !== undefined && !this.connection.isReset) return this.connection;
    const { balancer } = this.dependencies;
    const node = balancer.choose();
    if (node === undefined) return undefined;
    this.connection = new UserConnection(node, (closed) => balancer.connectionClosed(closed));
    balancer.connectionOpened(this.connection);
    return this.connection;
  }

  /** Sends one request and reports its answer. */
  private async request(kind: UserAnswer['kind'], request: Omit<ConnectionRequest, 'address'>) {
    const { clock, balancer, addresses } = this.dependencies;
    const requestedAt = clock.now();
    const connection = this.connect();
    const reply =
      connection === undefined
        ? undefined
        : await connection.send({ ...request, address: addresses[connection.node]! });
    if (reply === undefined && connection !== undefined) {
      connection.reset();
      balancer.connectionFailed(connection.node);
    }
    const { status, body } = reply ?? { status: 0, body: undefined };
    if (status === 200 || status === 201) {
      this.isAccepted = true;
      this.state = decodeJobState(body);
    }
    const failure = reply === undefined ? (connection?.lastFailure ?? 'no_node') : undefined;
    this.dependencies.onAnswer({ kind, jobId: this.jobId, requestedAt, at: clock.now(), status, body, failure });
    return { status, body };
  }

  private async retry(kind: 'submit' | 'cancel', request: Omit<ConnectionRequest, 'address'>, signal: AbortSignal) {
    const { clock } = this.dependencies;
    const endsAt = clock.now() + RETRY_LIMIT_MS;
    while (!signal.aborted) {
      const { status } = await this.request(kind, request);
      if ([200, 201, 400, 404, 422].includes(status) || clock.now() > endsAt) return;
      await clock.sleep(RETRY_PAUSE_MS, signal);
    }
  }

  submit(body: object, signal: AbortSignal): Promise<void> {
    return this.retry('submit', { method: 'POST', path: '/v1/jobs', body, timeoutMs: SUBMIT_TIMEOUT_MS }, signal);
  }

  cancel(signal: AbortSignal): Promise<void> {
    const path = `/v1/jobs/${this.jobId}/withdraw`;
    return this.retry('cancel', { method: 'POST', path, timeoutMs: SUBMIT_TIMEOUT_MS }, signal);
  }

  async poll(): Promise<void> {
    await this.request('poll', { method: 'GET', path: `/v1/jobs/${this.jobId}`, timeoutMs: POLL_TIMEOUT_MS });
  }

  /** Polls until the job is done or cancelled, or the signal aborts. */
  async pollUntilFinished(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.dependencies;
    while (!signal.aborted && !this.isFinished) {
      await clock.sleep(random.jitter(POLL_PERIOD_MS, 0.1), signal);
      if (!signal.aborted) await this.poll();
    }
    this.close();
  }

  close(): void {
    this.connection?.reset();
  }
}

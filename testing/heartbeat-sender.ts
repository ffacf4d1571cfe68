/** Sends the heartbeats of a fake worker: when, to which node, and what becomes of the answers. */
import type { Clock } from '../src/net/clock.js';
import type { HttpResponse } from '../src/net/http-client.js';
import { type CommandBatch, decodeCommandBatch, decodeRedirect } from './fake-worker-wire-codec.js';

/** How long a worker waits for an answer to its heartbeat, and how long it then waits before it tries the next node. */
export const ANSWER_TIMEOUT_MS = 4000;
const NEXT_NODE_DELAY_MS = 1000;

/** Sends a heartbeat to a node and returns its answer; undefined if there is none. */
export type SendHeartbeat = (node: string, heartbeat: object) => Promise<HttpResponse | undefined>;

/** The worker whose heartbeats are sent. */
export interface HeartbeatSource {
  readonly isSuspended: boolean;
  readonly agentEpoch: number;
  composeHeartbeat(): object;
  untilResumed(): Promise<void>;
  /** Applies the changes of the worker's tasks and lease that are due. */
  processDue(): void;
  /** Processes the answer to a heartbeat that was sent at `sentAt` in that agent epoch. */
  acceptAnswer(batch: CommandBatch, sentAt: number, agentEpoch: number): void;
}

/** Sends one heartbeat at a time, to the same node until it redirects or does not answer in time with success. */
export class HeartbeatSender {
  private node: string | undefined;
  private isSending = false;
  /** When the next node is tried after a failure. */
  private retryAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly source: HeartbeatSource,
  ) {}

  /** Sends one heartbeat, unless one is in flight, the worker is suspended, or a node has just failed to answer. */
  async send(nodes: readonly string[], send: SendHeartbeat): Promise<void> {
    if (this.isSending || this.source.isSuspended || this.clock.now() < this.retryAt) return;
    this.isSending = true;
    await this.sendNow(nodes, send);
    this.isSending = false;
  }

  private async sendNow(nodes: readonly string[], send: SendHeartbeat): Promise<void> {
    this.node ??= nodes[0]!;
    const { node } = this;
    const sentAt = this.clock.now();
    const heartbeat = this.source.composeHeartbeat();
    const { agentEpoch } = this.source;
    const answer = await send(node, heartbeat);
    await this.source.untilResumed();
    this.source.processDue();
    const reply = this.clock.now() - sentAt > ANSWER_TIMEOUT_MS ? undefined : answer;
    if (reply?.status === 200) this.source.acceptAnswer(decodeCommandBatch(reply.body), sentAt, agentEpoch);
    else this.chooseNode(nodes, node, reply);
  }

  private chooseNode(nodes: readonly string[], failed: string, reply: HttpResponse | undefined): void {
    const redirect = reply?.status === 421 ? decodeRedirect(reply.body) : undefined;
    if (redirect !== undefined && redirect !== failed && nodes.includes(redirect)) {
      this.node = redirect;
      return;
    }
    this.node = nodes[(nodes.indexOf(failed) + 1) % nodes.length]!;
    this.retryAt = this.clock.now() + NEXT_NODE_DELAY_MS;
  }
}

/** When and to which node a stand-in of a worker sends its heartbeats, and what it takes from the answers. */
import type { Clock } from '../src/net/clock.js';
import type { Reply } from '../src/net/http-client.js';
import { type CommandBatch, decodeCommandBatch, decodeRedirect } from './fake-worker-wire-codec.js';

/** ms for which a worker waits for an answer to its heartbeat, and ms until it then tries the next node. */
export const ANSWER_MS = 4000;
const NEXT_NODE_MS = 1000;

/** Brings a node's answer to a heartbeat; undefined: there is none. */
export type SendHeartbeat = (node: string, heartbeat: object) => Promise<Reply | undefined>;

/** The worker whose heartbeats are sent. */
export interface HeartbeatSource {
  readonly isSuspended: boolean;
  readonly agentEpoch: number;
  composeHeartbeat(): object;
  untilResumed(): Promise<void>;
  /** Brings the worker's tasks and its lease up to date. */
  processDue(): void;
  /** The answer to a heartbeat of that agent epoch, sent at that time. */
  acceptAnswer(batch: CommandBatch, sentAt: number, agentEpoch: number): void;
}

/** One heartbeat at a time, to the same node as long as that one answers or redirects. */
export class HeartbeatSender {
  private node: string | undefined;
  private isSending = false;
  /** Until then it waits before it tries another node. */
  private waitsUntil = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly source: HeartbeatSource,
  ) {}

  /** Sends one heartbeat, unless one is on its way or a node has just failed to answer. */
  async send(nodes: readonly string[], send: SendHeartbeat): Promise<void> {
    if (this.isSending || this.source.isSuspended || this.clock.now() < this.waitsUntil) return;
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
    const reply = this.clock.now() - sentAt > ANSWER_MS ? undefined : answer;
    if (reply?.status === 200) this.source.acceptAnswer(decodeCommandBatch(reply.body), sentAt, agentEpoch);
    else this.chooseNode(nodes, node, reply);
  }

  private chooseNode(nodes: readonly string[], failed: string, reply: Reply | undefined): void {
    const redirect = reply?.status === 421 ? decodeRedirect(reply.body) : undefined;
    if (redirect !== undefined && redirect !== failed && nodes.includes(redirect)) {
      this.node = redirect;
      return;
    }
    this.node = nodes[(nodes.indexOf(failed) + 1) % nodes.length]!;
    this.waitsUntil = this.clock.now() + NEXT_NODE_MS;
  }
}

import { FORWARD_TIMEOUT_MS } from '../constants/gossip.js';
import type { Clock } from '../net/clock.js';
import type { Message, ForwardedHeartbeat, ForwardedHeartbeatAnswer } from './messages.js';

/**
 * Reports passed on to their owner. A cut between two zones leaves workers that can't reach their owner, while a third
 * node reaches both: the owner's own answer, with its fence, keeps their leases alive.
 */
export class HeartbeatForwarder {
  private readonly open = new Map<number, (answer: ForwardedHeartbeatAnswer | undefined) => void>();

  constructor(
    private readonly node: string,
    /**
     * The number of the first request. Another one in each life of the node: the answer to a former life's request, held back
     * by a cut, would else answer another worker's report, and have it launch what runs elsewhere.
     */
    private nextId: number,
    private readonly clock: Clock,
    private readonly send: (node: string, message: Message) => boolean,
  ) {}

  /** The owner's answer, or undefined when it can't be had in time. */
  async forward(partitionLeader: string, report: unknown): Promise<ForwardedHeartbeatAnswer | undefined> {
    const id = this.nextId++;
    const payload: ForwardedHeartbeat = { node: this.node, id, status: JSON.stringify(report) };
    const done = new AbortController();
    const answered = new Promise<ForwardedHeartbeatAnswer | undefined>((resolve) => this.open.set(id, resolve));
    if (!this.send(partitionLeader, { kind: 'forwarded_heartbeat', payload })) {
      this.open.delete(id);
      return undefined;
    }
    const late = this.clock.sleep(FORWARD_TIMEOUT_MS, done.signal).then(() => undefined);
    const answer = await Promise.race([answered, late]);
    this.open.delete(id);
    done.abort();
    return answer;
  }

  settle(answer: ForwardedHeartbeatAnswer): void {
    this.open.get(answer.id)?.(answer);
  }
}

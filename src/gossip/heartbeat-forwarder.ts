/**
 * Forwards heartbeats to the leader of the worker's partition. A network partition between two zones leaves workers that can't reach
 * their leader, while a third node reaches both: the leader's own answer, with its fencing token, keeps the workers' leases alive.
 */
import { FORWARD_TIMEOUT_MS } from '../constants/gossip.js';
import type { Clock } from '../net/clock.js';
import type { ForwardedHeartbeat, ForwardedHeartbeatAnswer, Message } from './messages.js';

/** What HeartbeatForwarder works with. */
export interface HeartbeatForwarderDependencies {
  /** This node. */
  node: string;
  /**
   * Must differ in each incarnation of the node: the answer to an earlier incarnation's request, delayed by a network partition,
   * would otherwise answer another worker's heartbeat, and make it launch what runs elsewhere.
   */
  firstRequestId: number;
  clock: Clock;
  /** False: there is no connection to the node. */
  send: (node: string, message: Message) => boolean;
}

/** Sends heartbeats to other nodes and pairs their answers with them. */
export class HeartbeatForwarder {
  private readonly pendingRequests = new Map<number, (answer: ForwardedHeartbeatAnswer | undefined) => void>();
  private nextRequestId: number;

  constructor(private readonly dependencies: HeartbeatForwarderDependencies) {
    this.nextRequestId = dependencies.firstRequestId;
  }

  /** The leader's answer; undefined when it can't be reached or doesn't answer in time. */
  async forward(partitionLeader: string, heartbeat: unknown): Promise<ForwardedHeartbeatAnswer | undefined> {
    const { node, clock, send } = this.dependencies;
    const id = this.nextRequestId++;
    const payload: ForwardedHeartbeat = { node, id, status: JSON.stringify(heartbeat) };
    const answered = new Promise<ForwardedHeartbeatAnswer | undefined>((resolve) => {
      this.pendingRequests.set(id, resolve);
    });
    if (!send(partitionLeader, { kind: 'forwarded_heartbeat', payload })) {
      this.pendingRequests.delete(id);
      return undefined;
    }
    const finished = new AbortController();
    const timedOut = clock.sleep(FORWARD_TIMEOUT_MS, finished.signal).then(() => undefined);
    const answer = await Promise.race([answered, timedOut]);
    this.pendingRequests.delete(id);
    finished.abort();
    return answer;
  }

  /** Completes the request that the answer belongs to; an answer that came too late is ignored. */
  completeRequest(answer: ForwardedHeartbeatAnswer): void {
    this.pendingRequests.get(answer.id)?.(answer);
  }
}

/**
 * Forwards heartbeats to the leader of the worker's partition. During a network partition between two zones, workers may be unable to
 * reach their leader while a third node reaches both. The leader's own answer, with its fencing token, renews the workers' leases.
 */
import { FORWARD_TIMEOUT_MS } from '../constants/gossip.js';
import type { Clock } from '../net/clock.js';
import { stringifyJson } from '../net/json.js';
import type { ForwardedHeartbeat, ForwardedHeartbeatAnswer, Message } from './messages.js';

/** Dependencies of HeartbeatForwarder. */
export interface HeartbeatForwarderDependencies {
  /** This node. */
  node: string;
  /**
   * Must differ in each incarnation of the node. Otherwise an answer to an earlier incarnation's request, delayed by a network
   * partition, could be returned to another worker, which would launch a task that runs elsewhere.
   */
  firstRequestId: number;
  clock: Clock;
  /** Returns false if the message could not be sent. */
  send: (node: string, message: Message) => boolean;
}

/** Sends heartbeats to other nodes and matches the answers to the requests. */
export class HeartbeatForwarder {
  private readonly pendingRequests = new Map<number, (answer: ForwardedHeartbeatAnswer | undefined) => void>();
  private nextRequestId: number;

  constructor(private readonly dependencies: HeartbeatForwarderDependencies) {
    this.nextRequestId = dependencies.firstRequestId;
  }

  /** Returns the leader's answer, or undefined if it can't be reached or doesn't answer within FORWARD_TIMEOUT_MS. */
  async forward(partitionLeader: string, heartbeat: unknown): Promise<ForwardedHeartbeatAnswer | undefined> {
    const { node, clock, send } = this.dependencies;
    const id = this.nextRequestId++;
    const payload: ForwardedHeartbeat = { node, id, status: stringifyJson(heartbeat) };
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

  /** Completes the request that the answer belongs to; an answer after the timeout is ignored. */
  completeRequest(answer: ForwardedHeartbeatAnswer): void {
    this.pendingRequests.get(answer.id)?.(answer);
  }
}

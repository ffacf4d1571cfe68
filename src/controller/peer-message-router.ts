/** Hands each message of another controller to the part that it is for. */
import type { ReplicaFreshness } from '../gossip/replica-freshness.js';
import type { ForwardedHeartbeat, Message } from '../gossip/messages.js';
import type { HeartbeatForwarder } from '../gossip/heartbeat-forwarder.js';
import type { GossipExchange } from '../gossip/gossip-exchange.js';
import type { RecordBroadcast } from '../gossip/record-broadcast.js';
import type { HeartbeatService } from '../workers/heartbeat-service.js';
import type { Standby } from '../leadership/standby.js';

export interface PeerMessageRouterDependencies {
  exchange: GossipExchange;
  heartbeatForwarder: HeartbeatForwarder;
  broadcast: RecordBroadcast;
  replicaFreshness: ReplicaFreshness;
  /** Without the warm standby there is none. */
  standby: Standby | undefined;
  heartbeats: HeartbeatService;
  send: (node: string, message: Message) => boolean;
}

export class PeerMessageRouter {
  constructor(private readonly dependencies: PeerMessageRouterDependencies) {}

  receive(message: Message): void {
    const { exchange, heartbeatForwarder, broadcast, replicaFreshness, standby } = this.dependencies;
    if ('gossip' in message) exchange.receive(message.gossip);
    else if ('relayAnswer' in message) heartbeatForwarder.settle(message.relayAnswer);
    else if ('news' in message) broadcast.receive(message.news);
    else if ('ask' in message) replicaFreshness.answerDeltaRequest(message.ask);
    else if ('delta' in message) replicaFreshness.applyDelta(message.delta);
    else if ('stream' in message) standby?.receive(message.stream);
    else this.answerForwarded(message.relay);
  }

  private answerForwarded(heartbeat: ForwardedHeartbeat): void {
    const { heartbeats, send } = this.dependencies;
    const relayAnswer = heartbeats.answerRelayed(heartbeat);
    if (relayAnswer !== undefined) send(heartbeat.node, { relayAnswer });
  }
}

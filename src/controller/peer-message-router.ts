/** Routes messages from other controllers to the parts that process them. */
import type { GossipExchange } from '../gossip/gossip-exchange.js';
import type { HeartbeatForwarder } from '../gossip/heartbeat-forwarder.js';
import type { ForwardedHeartbeat, Message } from '../gossip/messages.js';
import type { RecordBroadcast } from '../gossip/record-broadcast.js';
import type { ReplicaFreshness } from '../gossip/replica-freshness.js';
import type { Standby } from '../leadership/standby.js';
import type { HeartbeatService } from '../workers/heartbeat-service.js';

/** The receivers of peer messages. */
export interface PeerMessageRouterDependencies {
  exchange: GossipExchange;
  heartbeatForwarder: HeartbeatForwarder;
  broadcast: RecordBroadcast;
  replicaFreshness: ReplicaFreshness;
  /** undefined: the warm standby is switched off. */
  standby: Standby | undefined;
  heartbeats: HeartbeatService;
  send: (node: string, message: Message) => boolean;
}

/** Routes each message from a peer by its kind. */
export class PeerMessageRouter {
  constructor(private readonly dependencies: PeerMessageRouterDependencies) {}

  receive(message: Message): void {
    const { exchange, heartbeatForwarder, broadcast, replicaFreshness, standby } = this.dependencies;
    switch (message.kind) {
      case 'gossip':
        return exchange.receive(message.payload);
      case 'forwarded_heartbeat':
        return this.answerForwarded(message.payload);
      case 'forwarded_heartbeat_answer':
        return heartbeatForwarder.completeRequest(message.payload);
      case 'record_delta':
        return broadcast.receive(message.payload);
      case 'delta_request':
        return replicaFreshness.answerDeltaRequest(message.payload);
      case 'replica_delta':
        return replicaFreshness.applyDelta(message.payload);
      case 'standby_stream':
        return standby?.receive(message.payload);
    }
  }

  private answerForwarded(heartbeat: ForwardedHeartbeat): void {
    const { heartbeats, send } = this.dependencies;
    const answer = heartbeats.answerForwarded(heartbeat);
    if (answer !== undefined) send(heartbeat.node, { kind: 'forwarded_heartbeat_answer', payload: answer });
  }
}

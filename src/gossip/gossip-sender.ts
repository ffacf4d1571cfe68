/** Sends this node's gossip to all peers between the periodic messages. */
import { URGENT_GOSSIP_BATCHING_MS } from '../constants/gossip.js';
import type { Clock } from '../net/clock.js';
import type { Gossip, Message } from './messages.js';

/** Dependencies of GossipSender. */
export interface GossipSenderDependencies {
  peers: readonly string[];
  clock: Clock;
  /** Composes the gossip for one peer. */
  compose: (node: string) => Gossip;
  send: (node: string, message: Message) => void;
}

/** Sends gossip on demand, immediately or after a short delay. */
export class GossipSender {
  private isScheduled = false;

  constructor(private readonly dependencies: GossipSenderDependencies) {}

  /** Sends after URGENT_GOSSIP_BATCHING_MS, so that several calls share one message. */
  sendSoon(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    void this.dependencies.clock.sleep(URGENT_GOSSIP_BATCHING_MS).then(() => {
      this.isScheduled = false;
      this.sendNow();
    });
  }

  /** Sends immediately; a scheduled message is sent as well. */
  sendNow(): void {
    const { peers, compose, send } = this.dependencies;
    for (const node of peers) send(node, { kind: 'gossip', payload: compose(node) });
  }
}

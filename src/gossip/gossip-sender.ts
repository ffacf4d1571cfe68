/** Sends this node's gossip to all peers out of turn. */
import { GOSSIP_SOON_MS } from '../constants/gossip.js';
import type { Gossip, Message } from './messages.js';
import type { Clock } from '../net/clock.js';

export interface GossipSenderDependencies {
  peers: readonly string[];
  clock: Clock;
  compose: (node: string) => Gossip;
  send: (node: string, message: Message) => void;
}

export class GossipSender {
  private isScheduled = false;

  constructor(private readonly dependencies: GossipSenderDependencies) {}

  /** Within a moment, so that several reasons share one message. */
  sendSoon(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    void this.dependencies.clock.sleep(GOSSIP_SOON_MS).then(() => {
      this.isScheduled = false;
      this.sendNow();
    });
  }

  sendNow(): void {
    const { peers, compose, send } = this.dependencies;
    for (const node of peers) send(node, { kind: 'gossip', payload: compose(node) });
  }
}

/** Sends this node's gossip to all peers outside its regular period. */
import { GOSSIP_SOON_MS } from '../constants/gossip.js';
import type { Clock } from '../net/clock.js';
import type { Gossip, Message } from './messages.js';

/** What GossipSender works with. */
export interface GossipSenderDependencies {
  peers: readonly string[];
  clock: Clock;
  /** The gossip for one peer. */
  compose: (node: string) => Gossip;
  send: (node: string, message: Message) => void;
}

/** Sends gossip on demand, at once or after a short delay. */
export class GossipSender {
  private isScheduled = false;

  constructor(private readonly dependencies: GossipSenderDependencies) {}

  /** Sends after GOSSIP_SOON_MS, so that several causes share one message. */
  sendSoon(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    void this.dependencies.clock.sleep(GOSSIP_SOON_MS).then(() => {
      this.isScheduled = false;
      this.sendNow();
    });
  }

  /** Sends at once, whether or not a message is scheduled. */
  sendNow(): void {
    const { peers, compose, send } = this.dependencies;
    for (const node of peers) send(node, { kind: 'gossip', payload: compose(node) });
  }
}

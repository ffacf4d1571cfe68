/** Builds the parts that exchange state with the other controllers, without the connections that carry the messages. */
import { GossipExchange } from '../gossip/gossip-exchange.js';
import { GossipSender } from '../gossip/gossip-sender.js';
import { SentMachineUpdates } from '../gossip/sent-machine-updates.js';
import { type Environment, peerNodesOf } from './environment.js';
import type { LeadershipParts } from './leadership-parts.js';
import type { RecordParts } from './record-parts.js';
import type { WorkerParts } from './worker-parts.js';

/** The parts that exchange state with the other controllers. */
export interface GossipParts {
  readonly exchange: GossipExchange;
  readonly sender: GossipSender;
  /** The updates about this node's machines that each peer has been sent. */
  readonly sentUpdates: SentMachineUpdates;
}

/** Builds the gossip on top of the records, the leadership and the workers. */
export function createGossipParts(
  environment: Environment,
  records: RecordParts,
  { leadership, health }: LeadershipParts,
  { inventory, workerManager }: WorkerParts,
): GossipParts {
  const { clock, incarnation, send } = environment;
  const sentUpdates = new SentMachineUpdates(incarnation);
  const sender: GossipSender = new GossipSender({
    peers: peerNodesOf(environment),
    clock,
    compose: (node) => exchange.compose(node),
    send,
  });
  const exchange: GossipExchange = new GossipExchange({
    ...environment,
    ...records,
    leadership,
    misroutedWorkers: workerManager.misroutedWorkers,
    inventory,
    sentUpdates,
    isWithoutStore: () => health.isWithoutStore,
    sendSoon: () => sender.sendSoon(),
  });
  return { exchange, sender, sentUpdates };
}

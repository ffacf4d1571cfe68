/** Lasting faults of the links between the hosts of a cluster, as a scenario sets them. */
import type { NetworkFault } from './fake-network.js';

/** Which hosts cannot reach which others. */
export class LinkFaults {
  /** Workers that are dead or disconnected from all other hosts. */
  readonly disconnected = new Set<string>();
  /** Workers whose heartbeats arrive, but which receive neither answers nor commands. */
  readonly inboundLoss = new Set<string>();
  /** Workers whose heartbeats reach no node, but which receive and answer direct commands. */
  readonly outboundLoss = new Set<string>();
  /** Pairs "i-000001>n1" of a worker and a node that it cannot reach. */
  readonly unreachable = new Set<string>();
  /** Pairs "n0>n1" of nodes whose gossip does not arrive. */
  readonly partitioned = new Set<string>();

  /** The kind of fault between two hosts; undefined if messages get through. */
  faultBetween(from: string, to: string): NetworkFault['kind'] | undefined {
    const isLost =
      [from, to].some((machineId) => this.disconnected.has(machineId)) ||
      this.inboundLoss.has(to) ||
      this.outboundLoss.has(from) ||
      [this.unreachable, this.partitioned].some((pairs) => pairs.has(`${from}>${to}`));
    if (isLost) return 'lose';
    return this.inboundLoss.has(from) ? 'answerLost' : undefined;
  }

  /** Do commands reach the worker, and can its heartbeats reach nodes? */
  isReachable(machineId: string): boolean {
    return ![this.disconnected, this.inboundLoss, this.outboundLoss].some((machineIds) => machineIds.has(machineId));
  }
}

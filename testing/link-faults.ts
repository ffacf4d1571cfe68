/** Lasting losses between the hosts of a cluster, as a scenario sets them. */
import type { NetworkFault } from './fake-network.js';

/** Which hosts do not reach which. */
export class LinkFaults {
  /** Workers that are dead or cut off from all nodes. */
  readonly cut = new Set<string>();
  /** Workers whose heartbeats arrive, but which neither answers nor commands reach. */
  readonly inboundLoss = new Set<string>();
  /** Workers that reach no node, while direct commands reach them. */
  readonly outboundLoss = new Set<string>();
  /** Pairs "i-000001>n1" of a worker and a node that it can't reach. */
  readonly unreachable = new Set<string>();
  /** Pairs "n0>n1" of nodes whose gossip does not arrive. */
  readonly partitioned = new Set<string>();

  /** What is lost between two hosts. */
  lossBetween(from: string, to: string): NetworkFault['kind'] | undefined {
    const isLost =
      [from, to].some((machineId) => this.cut.has(machineId)) ||
      this.inboundLoss.has(to) ||
      this.outboundLoss.has(from) ||
      [this.unreachable, this.partitioned].some((pairs) => pairs.has(`${from}>${to}`));
    if (isLost) return 'lose';
    return this.inboundLoss.has(from) ? 'answerLost' : undefined;
  }

  /** Do commands reach the worker, and its heartbeats some node? */
  isReachable(machineId: string): boolean {
    return ![this.cut, this.inboundLoss, this.outboundLoss].some((machineIds) => machineIds.has(machineId));
  }
}

/** Counts the requests by which a node of a test cluster reads from the store. */
import type { Cluster } from './cluster.js';

const isComparison = (path: string, body: unknown): boolean =>
  path === '/txn' && ((body as { Apply?: unknown[] }).Apply ?? []).length === 0;

async function countRequests(
  { network }: Cluster,
  node: number,
  action: () => Promise<unknown>,
  isCounted: (path: string, body: unknown) => boolean,
): Promise<number> {
  const sentBefore = network.log.length;
  await action();
  const sent = network.log.slice(sentBefore).filter(({ from, to }) => from === `n${node}` && to === 'store:1');
  return sent.filter(({ path, body }) => isCounted(path, body)).length;
}

/** Number of requests that the node sends to read or compare, without its watch, while the action runs. */
export const countReads = (cluster: Cluster, node: number, action: () => Promise<unknown>): Promise<number> =>
  countRequests(cluster, node, action, (path, body) => isComparison(path, body) || /^\/store|WaitMs=0$/.test(path));

/** Number of transactions without a change that the node sends while the action runs. */
export const countComparisons = (cluster: Cluster, node: number, action: () => Promise<unknown>): Promise<number> =>
  countRequests(cluster, node, action, isComparison);

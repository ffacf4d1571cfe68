/** One loss of the leadership among real processes, timed. */
import { systemClock } from '../src/net/clock.js';
import type { LoopbackCluster } from './loopback-cluster.js';

/** How a process loses its leadership. */
export type LoopbackLoss = 'kill' | 'freeze' | 'terminate';

/** How long a takeover took. */
export interface LoopbackTimes {
  /** ms from the loss until another process holds the claim. */
  claimedMs: number;
  /** ms from the loss until the store has made a transaction under the new claim. */
  decidedMs: number;
}

const LEADER_KEY = 'live/claim/leader';
const SIGNALS = { kill: 'SIGKILL', freeze: 'SIGSTOP', terminate: 'SIGTERM' } as const;
/** ms for which a frozen process stands still after the takeover, before it goes on. */
const FROZEN_ON_MS = 500;

/** Loses the leader, waits for the first decision of its successor, and brings the lost process back. */
export async function loseLeader(cluster: LoopbackCluster, loss: LoopbackLoss): Promise<LoopbackTimes> {
  await cluster.until(() => cluster.claimOf('leader') !== undefined, 'a leader');
  const before = cluster.claimOf('leader')!;
  let decidedAt: number | undefined;
  cluster.onTransaction = ({ conditions, operations }) => {
    const claim = cluster.claimOf('leader');
    if (claim === undefined || claim.node === before.node) return;
    const isNew = conditions.some(({ key, modRevision }) => key === LEADER_KEY && modRevision === claim.fencingToken);
    if (isNew && operations.length > 0) decidedAt ??= systemClock.now();
  };
  const lostAt = systemClock.now();
  cluster.signal(before.node, SIGNALS[loss]);
  const isTaken = () => {
    const claim = cluster.claimOf('leader');
    return claim !== undefined && claim.node !== before.node;
  };
  await cluster.until(isTaken, 'a new leader');
  const claimedAt = systemClock.now();
  await cluster.until(() => decidedAt !== undefined, 'a decision of the new leader');
  if (loss === 'freeze') {
    await systemClock.sleep(FROZEN_ON_MS);
    cluster.signal(before.node, 'SIGCONT');
  } else cluster.startController(before.node);
  const home = `part-${before.node}`;
  await cluster.until(() => cluster.claimOf(home)?.node === before.node, 'the lost process is back');
  return { claimedMs: claimedAt - lostAt, decidedMs: decidedAt! - lostAt };
}

/** Submits gangs and arrays until the signal fires: the leader always has something to decide. */
export async function submitUntil(cluster: LoopbackCluster, everyMs: number, signal: AbortSignal): Promise<void> {
  for (let n = 0; !signal.aborted; n++) {
    void cluster.submit(
      n % 2 === 0 ? { kind: 'gang', priority: 'high', taskCount: 2, cpus: 1 } : { taskCount: 2, cpus: 1 },
    );
    await systemClock.sleep(everyMs, signal);
  }
}

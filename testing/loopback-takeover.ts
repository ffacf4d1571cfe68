/** Measures a takeover of the leadership among real processes. */
import { systemClock } from '../src/net/clock.js';
import type { LoopbackCluster } from './loopback-cluster.js';

/** How the leading process loses its leadership. */
export type LoopbackLoss = 'kill' | 'freeze' | 'terminate';

/** How long a takeover took. */
export interface LoopbackTimes {
  /** ms from the loss until another process holds the claim. */
  claimedMs: number;
  /** ms from the loss until the store has executed a transaction under the new claim. */
  decidedMs: number;
}

const LEADER_KEY = 'live/claim/leader';
const SIGNALS = { kill: 'SIGKILL', freeze: 'SIGSTOP', terminate: 'SIGTERM' } as const;
/** How long a frozen process stays frozen after the takeover. */
const FREEZE_AFTER_TAKEOVER_MS = 500;

/** Makes the leader lose its role, waits for the first decision of its successor, and brings the former leader back. */
export async function loseLeader(cluster: LoopbackCluster, loss: LoopbackLoss): Promise<LoopbackTimes> {
  await cluster.until(() => cluster.claimOf('leader') !== undefined, 'a leader');
  const formerClaim = cluster.claimOf('leader')!;
  let decidedAt: number | undefined;
  cluster.onTransaction = ({ conditions, operations }) => {
    const claim = cluster.claimOf('leader');
    if (claim === undefined || claim.node === formerClaim.node) return;
    const isNew = conditions.some(({ key, modRevision }) => key === LEADER_KEY && modRevision === claim.fencingToken);
    if (isNew && operations.length > 0) decidedAt ??= systemClock.now();
  };
  const lostAt = systemClock.now();
  cluster.signalController(formerClaim.node, SIGNALS[loss]);
  const isTakenOver = () => {
    const claim = cluster.claimOf('leader');
    return claim !== undefined && claim.node !== formerClaim.node;
  };
  await cluster.until(isTakenOver, 'a new leader');
  const claimedAt = systemClock.now();
  await cluster.until(() => decidedAt !== undefined, 'a decision of the new leader');
  if (loss === 'freeze') {
    await systemClock.sleep(FREEZE_AFTER_TAKEOVER_MS);
    cluster.signalController(formerClaim.node, 'SIGCONT');
  } else cluster.startController(formerClaim.node);
  const ownRole = `part-${formerClaim.node}`;
  await cluster.until(() => cluster.claimOf(ownRole)?.node === formerClaim.node, 'the former leader to be back');
  return { claimedMs: claimedAt - lostAt, decidedMs: decidedAt! - lostAt };
}

/** Submits gangs and arrays until the signal aborts, so that the leader always has something to decide. */
export async function submitUntil(cluster: LoopbackCluster, periodMs: number, signal: AbortSignal): Promise<void> {
  for (let n = 0; !signal.aborted; n++) {
    void cluster.submit(
      n % 2 === 0 ? { kind: 'gang', priority: 'high', taskCount: 2, cpus: 1 } : { taskCount: 2, cpus: 1 },
    );
    await systemClock.sleep(periodMs, signal);
  }
}

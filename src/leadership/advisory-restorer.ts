/** Restores the advisory state that was streamed from a role's former leader, except what the records contradict. */
import type { StreamFollower } from '@dewlatch/standby';

import { CLUSTER_LEADER_ROLE, partitionRole } from '../domain/role.js';
import { parseTaskId } from '../domain/task.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { HealthAdvisoryState, LeaderAdvisoryState } from './advisory-state.js';
import type { AdvisoryStream } from './advisory-stream.js';
import type { LeadershipHistory } from './leadership-history.js';

/** Sources of the streamed state, and the components that it is restored to. */
export interface AdvisoryRestorerDependencies {
  history: LeadershipHistory;
  stream: AdvisoryStream;
  /** Maps a machine to its partition. */
  leadership: { partitionOf(machineId: string): number };
  clusterState: ClusterState;
  happiness: HealthAdvisoryState;
  leader: { readonly advisoryState: LeaderAdvisoryState };
  clock: Clock;
  log: Log;
}

/** An optimization only: entries that the records contradict are skipped, and no decision needs a restored entry to be correct. */
export class AdvisoryRestorer {
  constructor(private readonly dependencies: AdvisoryRestorerDependencies) {}

  /** Must be called once per term, when the replica is complete up to the acquisition. */
  restore(role: string): void {
    const { history, stream, clock, log } = this.dependencies;
    const former = history.formerLeaderOf(role);
    const follower = former === undefined ? undefined : stream.followerOf(former.node);
    if (former === undefined || follower === undefined || follower.size === 0) return;
    const restored =
      role === CLUSTER_LEADER_ROLE ? this.restoreLeader(follower) : this.restorePartition(role, follower);
    const ageMs = Math.round(clock.now() - follower.knownAt);
    log.info({ role, formerLeader: former.node, entries: follower.size, restored, ageMs }, 'standby state restored');
  }

  /** Returns the number of restored entries. */
  private restoreLeader(follower: StreamFollower): number {
    const { leader, clusterState } = this.dependencies;
    const { advisoryState } = leader;
    const stopping = follower.entries('stopping');
    const refused = follower.entries('no_capacity');
    const idle = follower.entries('idle').filter(({ name }) => clusterState.taskCountOn(name) === 0);
    for (const { name, at } of stopping) advisoryState.restoreEviction(name, at);
    for (const { name, at } of refused) advisoryState.restoreRefusal(name, at);
    for (const { name, at } of idle) advisoryState.restoreIdle(name, at);
    return stopping.length + refused.length + idle.length;
  }

  private restorePartition(role: string, follower: StreamFollower): number {
    const { happiness } = this.dependencies;
    const health = follower.entries('health').filter(({ name }) => this.isPlacedIn(role, name));
    const moved = follower.entries('moved').filter(({ name }) => this.isPlacedIn(role, name));
    for (const { name, healthy, unhealthy, at } of health) happiness.restore(name, healthy, unhealthy, at);
    for (const { name, at } of moved) happiness.recordMove(name, at);
    return health.length + moved.length;
  }

  private isPlacedIn(role: string, taskId: string): boolean {
    const { clusterState, leadership } = this.dependencies;
    const task = parseTaskId(taskId);
    if (task === undefined) return false;
    const placement = clusterState.jobs.get(task.jobId)?.placementOf(task.taskIndex);
    return placement?.kind === 'placed' && partitionRole(leadership.partitionOf(placement.machineId)) === role;
  }
}

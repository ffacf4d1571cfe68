/** Restores what was followed of a role's former leader, as far as the records agree with it. */
import type { StreamFollower } from '@dewlatch/standby';

import { CLUSTER_LEADER_ROLE, partitionRole } from '../domain/role.js';
import { parseTaskId } from '../domain/task.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { HappinessMemory, LeaderMemory } from './advisory-memory.js';
import type { AdvisoryStream } from './advisory-stream.js';
import type { LeadershipHistory } from './leadership-history.js';

/** What the restorer reads from and writes to. */
export interface AdvisoryRestorerDependencies {
  history: LeadershipHistory;
  stream: AdvisoryStream;
  /** The partition of a machine. */
  leadership: { partitionOf(machineId: string): number };
  clusterState: ClusterState;
  happiness: HappinessMemory;
  leader: { readonly memory: LeaderMemory };
  clock: Clock;
  log: Log;
}

/** Only saves time: an entry that the records contradict is left out, and no decision rests on one. */
export class AdvisoryRestorer {
  constructor(private readonly dependencies: AdvisoryRestorerDependencies) {}

  /** To be called once in each term, when the replica is complete up to the acquisition. */
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

  /** Returns how many entries were restored. */
  private restoreLeader(follower: StreamFollower): number {
    const { leader, clusterState } = this.dependencies;
    const { memory } = leader;
    const stopping = follower.entries('stopping');
    const refused = follower.entries('no_capacity');
    const idle = follower.entries('idle').filter(({ name }) => clusterState.taskCountOn(name) === 0);
    for (const { name, at } of stopping) memory.restoreEviction(name, at);
    for (const { name, at } of refused) memory.restoreRefusal(name, at);
    for (const { name, at } of idle) memory.restoreIdle(name, at);
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

/** Follows the leadership records as they change: who led each role before, when it became vacant, and what this node lost. */
import type { PauseGuard, TakeoverTimeline, TakeoverTracer } from '@dewlatch/standby';

import { CLUSTER_LEADER_ROLE, partitionRole } from '../domain/role.js';
import type { Clock } from '../net/clock.js';
import type { ClusterState } from '../records/cluster-state.js';

/** What the history observes. */
export interface LeadershipHistoryDependencies {
  node: string;
  partitionCount: number;
  clusterState: ClusterState;
  peerDirectory: { lastGossipAt(node: string): number };
  timeline: TakeoverTimeline;
  guard: PauseGuard;
  tracer: TakeoverTracer;
  clock: Clock;
}

/** The node that led a role last, with the fencing token that it had. */
export interface FormerLeader {
  readonly node: string;
  readonly fencingToken: number;
}

/** The history since this process read the records; it is not stored. */
export class LeadershipHistory {
  private readonly roles: readonly string[];
  /** Who led each role last, other than this node. */
  private readonly formerLeaders = new Map<string, FormerLeader>();
  /** Fencing tokens of the roles that this node led at the last change, by role. */
  private readonly ownTokens = new Map<string, number>();
  /** Roles that were vacant at the last change. */
  private readonly vacantRoles = new Set<string>();

  constructor(private readonly dependencies: LeadershipHistoryDependencies) {
    const partitions = Array.from({ length: dependencies.partitionCount }, (_, partition) => partition);
    this.roles = [CLUSTER_LEADER_ROLE, ...partitions.map(partitionRole)];
  }

  formerLeaderOf(role: string): FormerLeader | undefined {
    return this.formerLeaders.get(role);
  }

  /** To be called whenever a leadership record has changed. */
  recordsChanged(): void {
    for (const role of this.roles) this.recordChanged(role);
  }

  private recordChanged(role: string): void {
    const { node, clusterState, timeline } = this.dependencies;
    const stored = clusterState.leadershipRecords.get(role);
    if (stored === undefined) {
      this.noteVacant(role);
      return;
    }
    this.vacantRoles.delete(role);
    if (stored.record.node === node) {
      this.ownTokens.set(role, stored.modRevision);
      return;
    }
    this.noteLoss(role);
    timeline.acquiredElsewhere(role);
    this.formerLeaders.set(role, { node: stored.record.node, fencingToken: stored.modRevision });
  }

  private noteVacant(role: string): void {
    const { peerDirectory, timeline } = this.dependencies;
    if (this.vacantRoles.has(role)) return;
    this.vacantRoles.add(role);
    const former = this.formerLeaders.get(role);
    if (former === undefined) return;
    timeline.startTakeover(role, {
      formerLeader: former.node,
      formerFencingToken: former.fencingToken,
      lastSeenAt: peerDirectory.lastGossipAt(former.node),
    });
  }

  private noteLoss(role: string): void {
    const { tracer, guard, clock } = this.dependencies;
    const fencingToken = this.ownTokens.get(role);
    if (fencingToken === undefined) return;
    this.ownTokens.delete(role);
    tracer.leadershipLost({
      role,
      fencingToken,
      leaseConfirmedAt: guard.lastConfirmedAt,
      noticedAt: clock.now(),
    });
  }
}

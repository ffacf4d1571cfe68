/** Tracks changes of the leadership records: former leaders, roles that became vacant, and roles that this node lost. */
import type { PauseGuard, TakeoverTimeline, TakeoverTracer } from '@dewlatch/standby';

import type { Count } from '../domain/count.js';
import { CLUSTER_LEADER_ROLE, partitionRole } from '../domain/role.js';
import type { Clock } from '../net/clock.js';
import type { ClusterState } from '../records/cluster-state.js';

/** Sources of the history, and the timeline and tracer that it reports to. */
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

/** The last node that led a role, with its fencing token. */
export interface FormerLeader {
  readonly node: string;
  readonly fencingToken: Count;
}

/** The history since this process loaded the records; not persisted. */
export class LeadershipHistory {
  private readonly roles: readonly string[];
  /** The last leader of each role other than this node. */
  private readonly formerLeaders = new Map<string, FormerLeader>();
  /** Fencing tokens of the roles that this node led as of the last change, by role. */
  private readonly ownTokens = new Map<string, Count>();
  /** Roles that were vacant as of the last change. */
  private readonly vacantRoles = new Set<string>();

  constructor(private readonly dependencies: LeadershipHistoryDependencies) {
    const partitions = Array.from({ length: dependencies.partitionCount }, (_, partition) => partition);
    this.roles = [CLUSTER_LEADER_ROLE, ...partitions.map(partitionRole)];
  }

  formerLeaderOf(role: string): FormerLeader | undefined {
    return this.formerLeaders.get(role);
  }

  /** Must be called after every change of a leadership record. */
  leadershipRecordsChanged(): void {
    for (const role of this.roles) this.updateRole(role);
  }

  private updateRole(role: string): void {
    const { node, clusterState, timeline } = this.dependencies;
    const stored = clusterState.leadershipRecords.get(role);
    if (stored === undefined) {
      this.handleVacancy(role);
      return;
    }
    this.vacantRoles.delete(role);
    if (stored.record.node === node) {
      this.ownTokens.set(role, stored.modRevision);
      return;
    }
    this.traceOwnLoss(role);
    timeline.acquiredElsewhere(role);
    this.formerLeaders.set(role, { node: stored.record.node, fencingToken: stored.modRevision });
  }

  private handleVacancy(role: string): void {
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

  private traceOwnLoss(role: string): void {
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

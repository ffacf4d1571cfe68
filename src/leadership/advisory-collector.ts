/** Collects the advisory state of this node, which is kept in memory only, into the log that is streamed to its followers. */
import type { AdvisoryKind, AdvisoryLog } from '@dewlatch/standby';

import type { Clock } from '../net/clock.js';
import type { HealthAdvisoryState, LeaderAdvisoryState } from './advisory-state.js';
import type { RoleLeadership } from './role-leadership.js';

/** Sources of the advisory state, and the log that it is written to. */
export interface AdvisoryCollectorDependencies {
  advisoryLog: AdvisoryLog;
  leadership: RoleLeadership;
  happiness: HealthAdvisoryState;
  leader: { readonly advisoryState: LeaderAdvisoryState };
  clock: Clock;
}

/** Writes the advisory log. The kinds that only the cluster leader maintains have no entries on other nodes. */
export class AdvisoryCollector {
  constructor(private readonly dependencies: AdvisoryCollectorDependencies) {}

  /** Collects recent moves, evictions and refused offers; cheap enough to run on every tick. */
  collectEvents(): void {
    const { leadership, happiness, leader } = this.dependencies;
    const { advisoryState } = leader;
    const isLeader = leadership.isClusterLeader;
    const recentMoves = [...happiness.recentMoves()].map(({ task, at }) => ({ name: task, at }));
    const recentEvictions = isLeader
      ? [...advisoryState.recentEvictions()].map(({ attempt, at }) => ({ name: attempt, at }))
      : [];
    const refusedOffers = isLeader
      ? [...advisoryState.refusedOffers()].map(({ offer, at }) => ({ name: offer, at }))
      : [];
    this.replaceTimedEntries('moved', recentMoves);
    this.replaceTimedEntries('stopping', recentEvictions);
    this.replaceTimedEntries('no_capacity', refusedOffers);
  }

  /** Collects idle machines and the counts of health checks; called less often than `collectEvents`. */
  collectCounts(): void {
    const { advisoryLog, leadership, happiness, leader, clock } = this.dependencies;
    const idle = leadership.isClusterLeader ? [...leader.advisoryState.idleMachines()] : [];
    this.replaceTimedEntries(
      'idle',
      idle.map(({ machineId, at }) => ({ name: machineId, at })),
    );
    const unhealthyTasks = [...happiness.tasksWithUnhealthyChecks(clock.now())];
    const health = unhealthyTasks.map(({ task, healthy, unhealthy, lastAt }) => {
      return { kind: 'health' as const, name: task, at: lastAt, healthy, unhealthy };
    });
    advisoryLog.replace('health', health);
  }

  private replaceTimedEntries(
    kind: Exclude<AdvisoryKind, 'health'>,
    timedEntries: readonly { name: string; at: number }[],
  ): void {
    const entries = timedEntries.map(({ name, at }) => ({ kind, name, at, healthy: 0, unhealthy: 0 }));
    this.dependencies.advisoryLog.replace(kind, entries);
  }
}

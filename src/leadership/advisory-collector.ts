/** Collects what this node remembers beside the records into the advisory log, from which followers are served. */
import type { AdvisoryKind, AdvisoryLog } from '@dewlatch/standby';

import type { Clock } from '../net/clock.js';
import type { HappinessMemory, LeaderMemory } from './advisory-memory.js';
import type { RoleLeadership } from './role-leadership.js';

/** What the collector reads from and writes to. */
export interface AdvisoryCollectorDependencies {
  advisoryLog: AdvisoryLog;
  leadership: RoleLeadership;
  happiness: HappinessMemory;
  leader: { readonly memory: LeaderMemory };
  clock: Clock;
}

/** Reads the parts that remember something, and writes the advisory log. What only the cluster leader knows is empty elsewhere. */
export class AdvisoryCollector {
  constructor(private readonly dependencies: AdvisoryCollectorDependencies) {}

  /** Collects what changes at single moments; cheap enough for each tick. */
  collectEvents(): void {
    const { leadership, happiness, leader } = this.dependencies;
    const { memory } = leader;
    const isLeader = leadership.isLeader;
    const moved = [...happiness.recentMoves()].map(({ task, at }) => ({ name: task, at }));
    const stopping = isLeader ? [...memory.recentEvictions()].map(({ attempt, at }) => ({ name: attempt, at })) : [];
    const refused = isLeader ? [...memory.refusedOffers()].map(({ offer, at }) => ({ name: offer, at })) : [];
    this.replaceMoments('moved', moved);
    this.replaceMoments('stopping', stopping);
    this.replaceMoments('no_capacity', refused);
  }

  /** Collects what is counted over a while; to be called more rarely. */
  collectCounts(): void {
    const { advisoryLog, leadership, happiness, leader, clock } = this.dependencies;
    const idle = leadership.isLeader ? [...leader.memory.idleMachines()] : [];
    this.replaceMoments(
      'idle',
      idle.map(({ machineId, at }) => ({ name: machineId, at })),
    );
    const troubled = [...happiness.tasksWithUnhealthyChecks(clock.now())];
    const health = troubled.map(({ task, healthy, unhealthy, lastAt }) => {
      return { kind: 'health' as const, name: task, at: lastAt, healthy, unhealthy };
    });
    advisoryLog.replace('health', health);
  }

  private replaceMoments(
    kind: Exclude<AdvisoryKind, 'health'>,
    moments: readonly { name: string; at: number }[],
  ): void {
    const entries = moments.map(({ name, at }) => ({ kind, name, at, healthy: 0, unhealthy: 0 }));
    this.dependencies.advisoryLog.replace(kind, entries);
  }
}

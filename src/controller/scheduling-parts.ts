/** Builds the parts that decide where tasks run, which of them are moved, and how many machines there are. */
import { maySend } from '@dewlatch/standby';

import { ClusterLeader } from '../autoscaling/cluster-leader.js';
import { CloudClient } from '../cloud/cloud-client.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import { PlacementPlanner } from '../scheduling/placement-planner.js';
import { Rescheduler } from '../scheduling/rescheduler.js';
import { TeamSettlement } from '../scheduling/team-settlement.js';
import type { Environment } from './environment.js';
import type { RecordParts } from './record-parts.js';
import type { WorkerParts } from './worker-parts.js';

/** The parts that place, move and evict tasks, and that scale the cluster. */
export interface SchedulingParts {
  readonly planner: PlacementPlanner;
  readonly leader: ClusterLeader;
  readonly rescheduler: Rescheduler;
  readonly teamSettlement: TeamSettlement;
}

/** Builds the scheduling on top of the records, the leadership and the workers. */
export function createSchedulingParts(
  environment: Environment,
  records: RecordParts,
  leadership: RoleLeadership,
  { inventory, happiness }: WorkerParts,
): SchedulingParts {
  const { settings, tuning, http, clock, log, random, invariants } = environment;
  const { cluster, cloudAddress } = settings;
  const { clusterState, transactions } = records;
  const planner = new PlacementPlanner({ ...environment, ...records, leadership, inventory });
  const canSend = (call: Parameters<typeof maySend>[0]): boolean =>
    !tuning.standby.enabled || maySend(call, () => leadership.isClusterLeader);
  const cloud = new CloudClient({
    ...{ http, clock },
    address: cloudAddress,
    requestsPerSecond: cluster.cloud.requestsPerSecond,
    maySend: canSend,
  });
  const leader = new ClusterLeader({ ...environment, ...records, leadership, inventory, planner, cloud });
  const rescheduler = new Rescheduler({
    ...{
      tuning,
      leadership,
      clusterState,
      inventory,
      planner,
      transactions,
      happiness,
      clock,
      random,
      invariants,
      log,
    },
  });
  const teamSettlement = new TeamSettlement({ ...records, teams: cluster.teams, leadership });
  return { planner, leader, rescheduler, teamSettlement };
}

/** The background loops of a controller, which all run until one signal is aborted. */
import type { ClusterLeader } from '../autoscaling/cluster-leader.js';
import {
  DEPENDENCY_SWEEP_PERIOD_MS,
  FINISHED_JOB_SWEEP_PERIOD_MS,
  FORMAT_CHECK_PERIOD_MS,
  TEAM_SETTLEMENT_PERIOD_MS,
} from '../constants/records.js';
import { SWEEP_PERIOD_MS, TOKEN_ANNOUNCE_PERIOD_MS } from '../constants/workers.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { JobCompletion } from '../jobs/job-completion.js';
import type { WaitingJobAdvancer } from '../jobs/waiting-job-advancer.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { RoleRebalancer } from '../leadership/role-rebalancer.js';
import type { Standby } from '../leadership/standby.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import { runPeriodically } from '../net/periodic.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { FormatUpgrade } from '../records/format-upgrade.js';
import type { Happiness } from '../scheduling/decisions/happiness.js';
import type { PlacementPlanner } from '../scheduling/placement-planner.js';
import type { Rescheduler } from '../scheduling/rescheduler.js';
import type { TeamSettlement } from '../scheduling/team-settlement.js';
import type { Replica } from '../store/replica.js';
import type { CancellationEnforcer } from '../workers/cancellation-enforcer.js';
import { TokenAnnouncer } from '../workers/token-announcer.js';
import type { WorkerManager } from '../workers/worker-manager.js';
import type { NodeStatus } from './node-status.js';

/** The parts that the background loops run. */
export interface BackgroundLoopsDependencies {
  clock: Clock;
  log: Log;
  replica: Replica;
  clusterState: ClusterState;
  leadership: RoleLeadership;
  formatUpgrade: FormatUpgrade;
  workerManager: WorkerManager;
  inventory: MachineInventory;
  happiness: Happiness;
  cancellationEnforcer: CancellationEnforcer;
  planner: PlacementPlanner;
  leader: ClusterLeader;
  rescheduler: Rescheduler;
  teamSettlement: TeamSettlement;
  completion: JobCompletion;
  waitingJobAdvancer: WaitingJobAdvancer;
  roleRebalancer: RoleRebalancer;
  nodeStatus: NodeStatus;
  /** undefined: the warm standby is switched off. */
  standby: Standby | undefined;
}

/** Records the end of finished jobs, and removes outdated entries from memory. */
function cleanUp({ leadership, completion, happiness, inventory, clock }: BackgroundLoopsDependencies): void {
  if (!leadership.hasRecentStoreContact) return;
  completion.completeAll();
  happiness.prune(clock.now());
  inventory.prune();
}

/** Runs all loops until the signal is aborted. */
export async function runBackgroundLoops(
  dependencies: BackgroundLoopsDependencies,
  signal: AbortSignal,
): Promise<void> {
  const { clock, log, leader } = dependencies;
  const announcer = new TokenAnnouncer({ ...dependencies, endpoints: leader });
  const repeat = (periodMs: number, work: () => Promise<void> | void): Promise<void> =>
    runPeriodically(periodMs, { clock, log, signal }, work);
  await Promise.all([
    dependencies.nodeStatus.run(signal),
    dependencies.replica.run(signal),
    dependencies.leadership.run(signal),
    dependencies.workerManager.run(signal),
    dependencies.planner.run(signal),
    leader.run(signal),
    dependencies.standby?.run(signal),
    dependencies.rescheduler.run(signal),
    repeat(FINISHED_JOB_SWEEP_PERIOD_MS, () => cleanUp(dependencies)),
    repeat(SWEEP_PERIOD_MS, () => dependencies.roleRebalancer.rebalance()),
    repeat(SWEEP_PERIOD_MS, () => dependencies.cancellationEnforcer.sweep()),
    repeat(TOKEN_ANNOUNCE_PERIOD_MS, () => announcer.announce()),
    repeat(DEPENDENCY_SWEEP_PERIOD_MS, () => dependencies.waitingJobAdvancer.sweep()),
    repeat(TEAM_SETTLEMENT_PERIOD_MS, () => dependencies.teamSettlement.settleIdleTeams()),
    repeat(FORMAT_CHECK_PERIOD_MS, () => dependencies.formatUpgrade.check()),
  ]);
}

/** Builds the parts that serve the workers of the partitions that this controller leads, and that track machines. */
import { HeartbeatForwarder } from '../gossip/heartbeat-forwarder.js';
import { followCatalog } from '../inventory/catalog-follower.js';
import { MachineInventory } from '../inventory/machine-inventory.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import { Happiness } from '../scheduling/decisions/happiness.js';
import { HealthChecks } from '../scheduling/health-checks.js';
import type { PlacementPlanner } from '../scheduling/placement-planner.js';
import { CancellationEnforcer } from '../workers/cancellation-enforcer.js';
import { HeartbeatService } from '../workers/heartbeat-service.js';
import { WorkerManager } from '../workers/worker-manager.js';
import type { Environment } from './environment.js';
import type { RecordParts } from './record-parts.js';
import { createWorkerManagerEvents } from './worker-manager-events.js';

/** The parts that communicate with workers and track machines. */
export interface WorkerParts {
  readonly workerManager: WorkerManager;
  readonly inventory: MachineInventory;
  readonly happiness: Happiness;
  readonly heartbeatForwarder: HeartbeatForwarder;
  readonly heartbeats: HeartbeatService;
  readonly cancellationEnforcer: CancellationEnforcer;
}

/** Access to parts that are built later, and notifications to them. */
export interface WorkerPartsHooks {
  planner: () => PlacementPlanner;
  /** Called when a heartbeat of a worker in the role's partition is answered. */
  workerAnswered: (role: string) => void;
  /** Called at the first heartbeat of a worker that another node leads. */
  onMisrouted: () => void;
}

/** Builds the worker management on top of the records and the leadership. */
export function createWorkerParts(
  environment: Environment,
  records: RecordParts,
  leadership: RoleLeadership,
  hooks: WorkerPartsHooks,
): WorkerParts {
  const { settings, tuning, http, clock, log, refusals, incarnation, send } = environment;
  const { clusterState, peerDirectory } = records;
  const happiness = new Happiness(tuning.happinessWindowMs);
  const healthChecks = new HealthChecks({ clusterState, happiness, clock });
  const getInventory = (): MachineInventory => inventory;
  const events = createWorkerManagerEvents({ ...hooks, clusterState, healthChecks, inventory: getInventory });
  const workerManager = new WorkerManager({ ...environment, ...records, leadership, events });
  const inventory: MachineInventory = new MachineInventory(settings, leadership, workerManager, clock);
  followCatalog(records.replica, () => inventory.catalog, log);
  const heartbeatForwarder = new HeartbeatForwarder({ node: settings.node, firstRequestId: incarnation, clock, send });
  const heartbeats = new HeartbeatService({
    node: settings.node,
    workerManager,
    heartbeatForwarder,
    ...{ log, refusals },
    onMisrouted: hooks.onMisrouted,
  });
  const cancellationEnforcer = new CancellationEnforcer({
    ...{ leadership, clusterState, inventory, peerDirectory, http, clock, log },
  });
  return { workerManager, inventory, happiness, heartbeatForwarder, heartbeats, cancellationEnforcer };
}

/** The worker manager's dependencies, its events, and the outcomes of heartbeats. */
import type { Count } from '../domain/count.js';
import type { Settings } from '../domain/settings.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Invariants } from '../logging/invariants.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import type { HttpClient } from '../net/http-client.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { TeamAccounting } from '../records/team-accounting.js';
import type { Replica } from '../store/replica.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { ExitListener } from './exit-recorder.js';
import type { WireCommand, WorkerStatus } from './worker-wire-codec.js';

/** How a heartbeat is answered. */
export type HeartbeatOutcome =
  /** The response renews the worker's lease. */
  | { kind: 'answered'; fencingToken: Count; commands: readonly WireCommand[] }
  /**
   * Another node leads the worker's partition, or, if `node` is undefined, the machine is terminated. `shouldForward`: the
   * worker seems to be cut off from that node, so its heartbeat should be forwarded.
   */
  | { kind: 'redirected'; node: string | undefined; shouldForward: boolean }
  /** This node must not renew the lease, and knows of no node that may. */
  | { kind: 'unavailable'; error: string };

/** What the manager queries from other components, and the health checks and exits that it reports to them. */
export interface WorkerManagerEvents extends ExitListener {
  /** Called when a worker of the role's partition is being answered. */
  workerAnswered(role: string): void;
  /** Called at each heartbeat answered here, except late copies: one health check of each service task on the machine. */
  heartbeatReceived(workerStatus: WorkerStatus): void;
  /** Whether the cloud has confirmed that the machine is terminated. */
  isTerminated(machineId: string): boolean;
  /** Whether the status is no newer than the newest one that any node is known to have received from the machine. */
  isLate(workerStatus: WorkerStatus): boolean;
  /** Images on the machine according to the former leader of its partition. */
  knownImages(machineId: string): readonly string[];
  /** Size in GB of the image cache of a machine of this type. */
  imageCacheGb(machineType: string): number;
}

/** Components of the controller that the manager passes on to its own components. */
export interface WorkerManagerDependencies {
  settings: Settings;
  leadership: RoleLeadership;
  replica: Replica;
  clusterState: ClusterState;
  transactions: TransactionBatcher;
  accounting: TeamAccounting;
  http: HttpClient;
  clock: Clock;
  events: WorkerManagerEvents;
  invariants: Invariants;
  log: Log;
}

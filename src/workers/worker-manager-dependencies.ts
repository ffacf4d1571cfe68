/** What the manager of a controller's workers needs, asks of its surroundings, and answers. */
import type { Settings } from '../domain/settings.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import type { HttpClient } from '../net/http-client.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { TeamAccounting } from '../records/team-accounting.js';
import type { Replica } from '../store/replica.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { ExitListener } from './exit-recorder.js';
import type { WireCommand, WorkerStatus } from './worker-wire-codec.js';

/** What a heartbeat is answered. */
export type HeartbeatOutcome =
  /** The answer renews the worker's lease. */
  | { kind: 'answered'; fencingToken: number; commands: readonly WireCommand[] }
  /**
   * Another node leads the worker's partition, if anybody does. `canForward`: the worker seems to be cut off from that node, so
   * its heartbeat is better forwarded.
   */
  | { kind: 'redirected'; node: string | undefined; canForward: boolean }
  /** This node must not renew the lease, and knows of nobody who may. */
  | { kind: 'unavailable'; error: string };

/** What the manager asks of its surroundings, and where it tells of health checks and exits. */
export interface WorkerManagerEvents extends ExitListener {
  /** A worker of the role's partition is being answered. */
  workerAnswered(role: string): void;
  /** A heartbeat came: one health check of each service task on the machine. */
  heartbeatReceived(workerStatus: WorkerStatus): void;
  /** Has the cloud confirmed that the machine is terminated? */
  isTerminated(machineId: string): boolean;
  /** Is the status no newer than the newest one that anybody is known to have received of the machine? */
  isLate(workerStatus: WorkerStatus): boolean;
  /** Images that the former leader of the machine's partition knew to be there. */
  knownImages(machineId: string): readonly string[];
  /** GB of images that a machine of the type keeps. */
  cacheGb(machineType: string): number;
}

/** The controller's parts that the manager hands on to its own. */
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
  log: Log;
}

import type { Settings } from '../domain/settings.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { TeamAccounting } from '../records/team-accounting.js';
import type { Clock } from '../net/clock.js';
import type { HttpClient } from '../net/http-client.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { Replica } from '../store/replica.js';
import type { WireCommand, WorkerStatus } from './worker-wire-codec.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { ExitListener } from './exit-recorder.js';
import type { Log } from '../logging/log.js';

/** What the manager of a controller's workers needs, asks of its surroundings, and answers. */
export type HeartbeatOutcome =
  /** The answer renews the worker's lease. */
  | { kind: 'answered'; fencingToken: number; commands: readonly WireCommand[] }
  /**
   * Another node leads the worker's partition, if anybody does. `canForward`: the worker seems to be cut off from that node, so
   * its heartbeat is better forwarded.
   */
  | { kind: 'redirected'; node: string | undefined; canForward: boolean }
  | { kind: 'unavailable'; error: string };

/** What an owner asks of its surroundings, and where it tells of checks and exits. */
export interface WorkerManagerEvents extends ExitListener {
  /** A worker of the role's partition is being answered. */
  workerAnswered(role: string): void;
  /** A report was heard: one check of each service task on the machine. */
  heartbeatReceived(workerStatus: WorkerStatus): void;
  /** Has the cloud confirmed that the machine is gone? */
  isTerminated(machineId: string): boolean;
  /** Is a report of that session and Tick older than what anybody is known to have heard of the machine? */
  isLate(workerStatus: WorkerStatus): boolean;
  /** Images that the machine's last owner knew to be there. */
  knownImages(machineId: string): readonly string[];
  /** GB of images that a machine of the type keeps. */
  cacheGb(machineType: string): number;
}

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

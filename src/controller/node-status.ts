/** The periodic "node status" log line: what this node leads and knows, and how far its shared resources are used. */
import { getHeapStatistics } from 'node:v8';

import type { ApiServerStatus } from '../api/api-server.js';
import { NODE_STATUS_PERIOD_MS } from '../constants/program.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Invariants } from '../logging/invariants.js';
import type { Log } from '../logging/log.js';
import type { RefusalLog } from '../logging/refusal-log.js';
import type { Clock } from '../net/clock.js';
import { EventLoopDelay } from '../net/event-loop-delay.js';
import type { HttpClient } from '../net/http-client.js';
import { runPeriodically } from '../net/periodic.js';
import type { PlacementPlanner } from '../scheduling/placement-planner.js';
import type { Replica } from '../store/replica.js';
import type { StoreClient } from '../store/store-client.js';
import type { CommandLog } from '../workers/command-log.js';

const BYTES_PER_MB = 1_000_000;

/** The parts that the status is read from. */
export interface NodeStatusDependencies {
  leadership: RoleLeadership;
  replica: Replica;
  client: StoreClient;
  planner: PlacementPlanner;
  commandLog: CommandLog;
  http: HttpClient;
  refusals: RefusalLog;
  invariants: Invariants;
  /** undefined: the node serves no sockets. */
  apiServer: () => ApiServerStatus | undefined;
  clock: Clock;
  log: Log;
}

/** Logs the status periodically; the counts and maximums of each line are those since the line before. */
export class NodeStatus {
  private readonly eventLoopDelay: EventLoopDelay;

  constructor(private readonly dependencies: NodeStatusDependencies) {
    this.eventLoopDelay = new EventLoopDelay(dependencies.clock);
  }

  /** Logs until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, log } = this.dependencies;
    await Promise.all([
      this.eventLoopDelay.run(signal),
      runPeriodically(NODE_STATUS_PERIOD_MS, { clock, log, signal }, () => this.logStatus()),
    ]);
  }

  private logStatus(): void {
    const { leadership, replica, client, planner, commandLog, http, refusals, invariants, apiServer, clock, log } =
      this.dependencies;
    const heap = getHeapStatistics();
    const status = {
      fencingTokens: leadership.heldFencingTokens(),
      replicaRevision: replica.revision,
      replicaAgeMs: replica.isLoaded ? Math.round(clock.now() - replica.freshAt) : null,
      eventLoopDelayMs: Math.round(this.eventLoopDelay.takeLongestMs()),
      longestPlanTurnMs: Math.round(planner.takeLongestTurnMs()),
      workerCommands: commandLog.takeCounts(),
      storeWaitMs: client.takeLongestWaits(),
      storeRequests: client.takeOutcomes(),
      outgoing: http.connectionStatus?.(),
      incoming: apiServer(),
      refusals: refusals.takeCounts(),
      violatedInvariants: invariants.takeCounts(),
      heapMb: Math.round(heap.used_heap_size / BYTES_PER_MB),
      heapLimitMb: Math.round(heap.heap_size_limit / BYTES_PER_MB),
    };
    log.info(status, 'node status');
  }
}

import { MAX_CONCURRENT_TOKEN_ANNOUNCEMENTS, TOKEN_REANNOUNCE_DELAY_MS } from '../constants/workers.js';
import type { Count } from '../domain/count.js';
import { type ActivePlacement, taskIdOf } from '../domain/task.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import type { HttpClient } from '../net/http-client.js';
import type { ClusterState, JobView } from '../records/cluster-state.js';
import { commandsForOneMessage } from './command-batch.js';
import { sendCommands } from './command-client.js';
import { machineRole } from './machine-role.js';
import type { WorkerCommand } from './worker-wire-codec.js';

/**
 * The state that the enforcer reads, and the client that it sends with. `inventory` also knows the endpoints of
 * machines that other nodes lead.
 */
export interface CancellationEnforcerDependencies {
  leadership: RoleLeadership;
  clusterState: ClusterState;
  inventory: { get(machineId: string): { endpoint: string } | undefined };
  peerDirectory: { isWithoutStore(node: string): boolean };
  http: HttpClient;
  clock: Clock;
  log: Log;
}

/** Kill commands for one machine. */
interface KillBatch {
  /** The fencing token of the machine's leader. */
  fencingToken: Count;
  agentEpoch: Count;
  commands: WorkerCommand[];
}

/**
 * Kills the remaining tasks of cancelled jobs on machines whose leader is without the store and so may not know of the
 * cancellation. While this node itself is without the store, it can't tell which leaders are, and does so for all.
 * A cancellation is final, and a worker accepts commands from any node under its leader's token. So nothing is decided
 * in the leader's place, and the leader learns of the exits from the next heartbeat. The cancellation deadline does not
 * depend on this component, which only stops the tasks sooner.
 */
export class CancellationEnforcer {
  /** When kills were last sent to each machine, in monotonic ms. */
  private readonly sentAt = new Map<string, number>();
  private inFlightCount = 0;

  constructor(private readonly dependencies: CancellationEnforcerDependencies) {}

  /** Sends kills to each such machine, and repeats them after a pause while tasks remain there. */
  sweep(): void {
    const now = this.dependencies.clock.now();
    for (const [machineId, at] of this.sentAt) if (now - at > TOKEN_REANNOUNCE_DELAY_MS) this.sentAt.delete(machineId);
    for (const [machineId, batch] of this.remainingTasksByMachine()) this.send(machineId, batch, now);
  }

  private send(machineId: string, batch: KillBatch, now: number): void {
    const { inventory, http, log } = this.dependencies;
    const endpoint = inventory.get(machineId)?.endpoint;
    if (
      endpoint === undefined ||
      this.sentAt.has(machineId) ||
      this.inFlightCount >= MAX_CONCURRENT_TOKEN_ANNOUNCEMENTS
    )
      return;
    this.sentAt.set(machineId, now);
    this.inFlightCount++;
    // What does not fit is sent when the kills are repeated.
    const commands = commandsForOneMessage(batch.commands);
    log.info({ machineId, taskCount: commands.length }, 'killing tasks of cancelled jobs for their leader');
    void sendCommands(http, endpoint, { ...batch, commands }).finally(() => this.inFlightCount--);
  }

  /** By machine id. */
  private remainingTasksByMachine(): Map<string, KillBatch> {
    const remaining = new Map<string, KillBatch>();
    for (const view of this.dependencies.clusterState.jobs.values()) {
      if (view.record.state === 'cancelled' && view.placedCount > 0) this.addTasksOf(view, remaining);
    }
    return remaining;
  }

  private addTasksOf(view: JobView, remaining: Map<string, KillBatch>): void {
    for (const [taskIndex, placement] of view.storedPlacements()) {
      if (placement.kind !== 'placed') continue;
      const fencingToken = this.leaderTokenForKill(placement.machineId);
      if (fencingToken === undefined) continue;
      const batch = batchFor(remaining, placement, fencingToken);
      const taskId = taskIdOf(view.jobId, taskIndex);
      batch?.commands.push({ kind: 'kill', taskId, attempt: placement.attempt, gracePeriodS: 0 });
    }
  }

  /** The fencing token of the machine's leader; undefined if the leader needs no help, or if there is none. */
  private leaderTokenForKill(machineId: string): Count | undefined {
    const { leadership, clusterState, peerDirectory } = this.dependencies;
    const role = machineRole(leadership, machineId);
    const leader = clusterState.leadershipRecords.get(role);
    if (leader === undefined || leadership.leadershipOf(role) !== undefined) return undefined;
    // A leader that is only busy, or whose partition another node will take over, needs no help.
    if (leadership.hasRecentStoreContact && !peerDirectory.isWithoutStore(leader.record.node)) return undefined;
    return leader.modRevision;
  }
}

/**
 * The batch for the placement's machine. If the placements of a machine have several agent epochs, the older ones are
 * over; returns undefined for a placement of an older epoch.
 */
function batchFor(
  batches: Map<string, KillBatch>,
  { machineId, agentEpoch }: ActivePlacement,
  fencingToken: Count,
): KillBatch | undefined {
  const existing = batches.get(machineId);
  if (existing !== undefined && existing.agentEpoch >= agentEpoch)
    return existing.agentEpoch === agentEpoch ? existing : undefined;
  const batch: KillBatch = { fencingToken, agentEpoch, commands: [] };
  batches.set(machineId, batch);
  return batch;
}

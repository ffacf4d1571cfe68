import { MAX_TOKEN_ANNOUNCEMENTS, TOKEN_ANNOUNCE_AGAIN_MS } from '../constants/workers.js';
import type { ClusterState } from '../records/cluster-state.js';
import { taskIdOf } from '../domain/task.js';
import { sendCommands } from './command-client.js';
import type { WorkerCommand } from './worker-wire-codec.js';
import { partitionRole } from '../domain/role.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Clock } from '../net/clock.js';
import type { HttpClient } from '../net/http-client.js';
import type { Log } from '../logging/log.js';

/**
 * Stops what is remaining of withdrawn jobs on machines whose owner is without the store, and so may not know of the withdrawal,
 * also while this node is, and can't tell.
 * A withdrawal is final, and a worker takes orders from any node under its owner's token: nothing of the owner's is decided
 * here, and it learns of the exits by the next report. That the tasks go in time does not rest on this; it only stops them
 * sooner.
 */
export class CancellationEnforcer {
  private readonly sentAt = new Map<string, number>();
  private inFlightCount = 0;

  constructor(
    private readonly leadership: RoleLeadership,
    private readonly clusterState: ClusterState,
    private readonly inventory: { get(machineId: string): { endpoint: string } | undefined },
    private readonly peerDirectory: { isWithoutStore(node: string): boolean },
    private readonly http: HttpClient,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  sweep(): void {
    const now = this.clock.now();
    for (const [machineId, at] of this.sentAt) if (now - at > TOKEN_ANNOUNCE_AGAIN_MS) this.sentAt.delete(machineId);
    for (const [machineId, { fencingToken, agentEpoch, commands }] of this.remainingTasks()) {
      const endpoint = this.inventory.get(machineId)?.endpoint;
      if (endpoint === undefined || this.sentAt.has(machineId) || this.inFlightCount >= MAX_TOKEN_ANNOUNCEMENTS)
        continue;
      this.sentAt.set(machineId, now);
      this.inFlightCount++;
      this.log.info({ machine: machineId, tasks: commands.length }, 'tasks of withdrawn jobs stopped for their owner');
      void sendCommands(this.http, endpoint, { fencingToken, agentEpoch, commands }).finally(
        () => this.inFlightCount--,
      );
    }
  }

  /** By machine; the places of one machine have one session, or the older ones are over. */
  private remainingTasks(): Map<string, { fencingToken: number; agentEpoch: number; commands: WorkerCommand[] }> {
    const remaining = new Map<string, { fencingToken: number; agentEpoch: number; commands: WorkerCommand[] }>();
    for (const view of this.clusterState.jobs.values()) {
      if (view.record.state !== 'cancelled' || view.placed === 0) continue;
      for (const [taskIndex, placement] of view.knownPlacements()) {
        if (placement.kind !== 'placed') continue;
        const role = partitionRole(this.leadership.partitionOf(placement.machineId));
        const leader = this.clusterState.leadershipRecords.get(role);
        if (leader === undefined || this.leadership.leadershipOf(role) !== undefined) continue;
        // An owner that is only busy, or whose partition others will take over, needs no help.
        if (this.leadership.isInTouchWithStore && !this.peerDirectory.isWithoutStore(leader.record.node)) continue;
        let batch = remaining.get(placement.machineId);
        if (batch === undefined || batch.agentEpoch < placement.agentEpoch) {
          remaining.set(
            placement.machineId,
            (batch = { fencingToken: leader.modRevision, agentEpoch: placement.agentEpoch, commands: [] }),
          );
        }
        if (batch.agentEpoch !== placement.agentEpoch) continue;
        batch.commands.push({
          kind: 'kill',
          taskId: taskIdOf(view.jobId, taskIndex),
          attempt: placement.attempt,
          gracePeriodS: 0,
        });
      }
    }
    return remaining;
  }
}

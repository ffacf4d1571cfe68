import {
  MAX_CONCURRENT_TOKEN_ANNOUNCEMENTS,
  TOKEN_ANNOUNCEMENTS_SHARE,
  TOKEN_REANNOUNCE_DELAY_MS,
} from '../constants/workers.js';
import type { Count } from '../domain/count.js';
import type { LeadershipTerm, RoleLeadership } from '../leadership/role-leadership.js';
import type { Clock } from '../net/clock.js';
import type { HttpClient } from '../net/http-client.js';
import type { ClusterState } from '../records/cluster-state.js';
import { type CommandResult, sendCommands, workerStatusFrom } from './command-client.js';
import type { CommandSender } from './command-sender.js';
import { machineRole } from './machine-role.js';
import type { WorkerRegistry } from './worker-registry.js';

/**
 * The state that the sender reads, and the client that it sends with; `commandSender` sends commands after the first
 * contact.
 */
export interface FencingTokenSenderDependencies {
  leadership: RoleLeadership;
  clusterState: ClusterState;
  workers: WorkerRegistry;
  commandSender: CommandSender;
  http: HttpClient;
  clock: Clock;
}

/** Where to send the token to a worker that has sent no heartbeat yet. */
export interface AnnouncementTarget {
  machineId: string;
  endpoint: string;
  /** The newest agent epoch known of the machine; 0 if none is known. */
  agentEpoch: Count;
}

/** Sends the fencing token to workers without contact since the takeover, so that they refuse older commands. */
export class FencingTokenSender {
  private inFlightCount = 0;
  /** When the token was last sent to each machine, in monotonic ms. */
  private readonly sentAt = new Map<string, number>();

  constructor(private readonly dependencies: FencingTokenSenderDependencies) {}

  async send({ machineId, endpoint, agentEpoch }: AnnouncementTarget): Promise<void> {
    const { leadership, workers, http } = this.dependencies;
    const held = leadership.confirmedLeadershipOf(machineRole(leadership, machineId));
    if (held === undefined || workers.has(machineId) || !this.reserveSlot(machineId)) return;
    this.inFlightCount++;
    const result = await sendCommands(http, endpoint, { fencingToken: held.fencingToken, agentEpoch, commands: [] });
    this.inFlightCount--;
    this.applyResult(machineId, held.term, result);
  }

  /** Forgets announcements that are old enough to be repeated. */
  prune(now: number): void {
    for (const [machineId, at] of this.sentAt) if (now - at > TOKEN_REANNOUNCE_DELAY_MS) this.sentAt.delete(machineId);
  }

  /**
   * Limits the announcements in flight and the rate for each machine. The next check comes soon, and most workers send
   * a heartbeat before their turn; those that don't respond must not keep the others waiting.
   */
  private reserveSlot(machineId: string): boolean {
    const { clusterState, clock } = this.dependencies;
    const now = clock.now();
    const maxInFlight = Math.max(
      MAX_CONCURRENT_TOKEN_ANNOUNCEMENTS,
      clusterState.usedMachineCount * TOKEN_ANNOUNCEMENTS_SHARE,
    );
    if (this.inFlightCount >= maxInFlight) return false;
    if (now - (this.sentAt.get(machineId) ?? -Infinity) < TOKEN_REANNOUNCE_DELAY_MS) return false;
    this.sentAt.set(machineId, now);
    return true;
  }

  private applyResult(machineId: string, term: LeadershipTerm, result: CommandResult): void {
    const { leadership, workers, commandSender, clock } = this.dependencies;
    const isSameTerm = leadership.leadershipOf(machineRole(leadership, machineId))?.term === term;
    const workerStatus = workerStatusFrom(result, machineId);
    if (!isSameTerm || workerStatus === undefined) return;
    const worker = workers.get(machineId) ?? workers.create(machineId);
    if (!worker.applyStatus(workerStatus, clock.now(), false)) return;
    workers.add(worker);
    commandSender.schedule(machineId);
  }
}

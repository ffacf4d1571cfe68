import { DRAIN_CHECK_PERIOD_MS } from '../constants/leadership.js';
import { COMMAND_BATCHING_MS, MORE_COMMANDS_DELAY_MS, SILENT_AFTER_MISSED_HEARTBEATS } from '../constants/workers.js';
import type { Count } from '../domain/count.js';
import type { WorkerTimings } from '../domain/settings.js';
import type { HeldLeadership, RoleLeadership } from '../leadership/role-leadership.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import type { HttpClient } from '../net/http-client.js';
import type { ClusterState } from '../records/cluster-state.js';
import { attemptKeyFrom, type TaskAttempt } from './attempt-key.js';
import { commandsForOneMessage } from './command-batch.js';
import { type CommandResult, sendCommands, workerStatusFrom } from './command-client.js';
import type { CommandLog, CommandTarget } from './command-log.js';
import { desiredTasksOn } from './desired-tasks.js';
import { machineRole } from './machine-role.js';
import type { DesiredTask } from './reconciliation.js';
import type { Worker } from './worker.js';
import type { WorkerReconciler } from './worker-reconciler.js';
import type { WorkerRegistry } from './worker-registry.js';
import type { WorkerCommand } from './worker-wire-codec.js';

/** The state that commands are derived from, and the clients that send them. */
export interface CommandSenderDependencies {
  timings: WorkerTimings;
  leadership: RoleLeadership;
  clusterState: ClusterState;
  workers: WorkerRegistry;
  reconciler: WorkerReconciler;
  commandLog: CommandLog;
  http: HttpClient;
  clock: Clock;
  log: Log;
}

/** Commands to send, with the role and the fencing token under which they are sent. */
interface CommandRequest {
  role: string;
  fencingToken: Count;
  commands: readonly WorkerCommand[];
  /** Whether these are all commands that are due; the others are sent once these are answered. */
  isComplete: boolean;
}

/** Commands in flight, with the role and the fencing token under which they were sent. */
interface SentCommands {
  role: string;
  fencingToken: Count;
  launches: readonly TaskAttempt[];
}

/**
 * Sends commands to workers directly, for lower latency; what is not sent here goes into the next heartbeat response.
 * Invariant: at most one command request is in flight to each worker.
 */
export class CommandSender {
  /** Monotonic ms of the next send to each machine. */
  private readonly nextSendAt = new Map<string, number>();
  /** Workers with a command request in flight. */
  private readonly inFlight = new Set<Worker>();
  /** Workers in `inFlight` for which more commands were due in the meantime, so that they need another request. */
  private readonly pendingResends = new Set<Worker>();
  private isDraining = false;

  constructor(private readonly dependencies: CommandSenderDependencies) {}

  /** Schedules the commands for a machine's changed placements after `delayMs`, without waiting for a heartbeat. */
  schedule(machineId: string, delayMs = COMMAND_BATCHING_MS): void {
    const { clock } = this.dependencies;
    const dueAt = clock.now() + delayMs;
    if ((this.nextSendAt.get(machineId) ?? Infinity) <= dueAt) return;
    this.nextSendAt.set(machineId, dueAt);
    void clock.sleep(delayMs).then(() => {
      // A send that was scheduled for an earlier time has replaced this one.
      if (this.nextSendAt.get(machineId) !== dueAt) return undefined;
      this.nextSendAt.delete(machineId);
      return this.send(machineId);
    });
  }

  /** Sends no more commands, and waits up to `timeoutMs` for the responses to those in flight. */
  async drain(timeoutMs: number): Promise<void> {
    const { workers, clock } = this.dependencies;
    this.isDraining = true;
    const deadline = clock.now() + timeoutMs;
    const isBusy = () => [...workers.values()].some((worker) => this.inFlight.has(worker));
    while (isBusy() && clock.now() < deadline) await clock.sleep(DRAIN_CHECK_PERIOD_MS);
  }

  private async send(machineId: string): Promise<void> {
    const { leadership, workers } = this.dependencies;
    const role = machineRole(leadership, machineId);
    const held = leadership.confirmedLeadershipOf(role);
    const worker = workers.get(machineId);
    if (held === undefined || worker === undefined || worker.agentEpoch === 0 || this.isDraining) return;
    if (this.inFlight.has(worker)) {
      this.pendingResends.add(worker);
      return;
    }
    const dueCommands = this.commandsFor(worker, role, held);
    if (dueCommands.length === 0) return;
    const commands = commandsForOneMessage(dueCommands);
    const isComplete = commands.length === dueCommands.length;
    await this.request(worker, { role, fencingToken: held.fencingToken, commands, isComplete });
  }

  private async request(worker: Worker, { role, fencingToken, commands, isComplete }: CommandRequest): Promise<void> {
    const { workers, http, commandLog } = this.dependencies;
    const { machineId, endpoint, agentEpoch, sequence } = worker;
    this.inFlight.add(worker);
    const launches = commands.filter((command) => command.kind === 'launch');
    for (const launch of launches) worker.launches.recordRequest(launch, fencingToken);
    const target: CommandTarget = { machineId, channel: 'request', fencingToken, agentEpoch, sequence };
    for (const command of commands) commandLog.record(target, command);
    const result = await sendCommands(http, endpoint, { fencingToken, agentEpoch, commands });
    commandLog.recordOutcome(target, result.kind);
    this.inFlight.delete(worker);
    const wasChanged = this.pendingResends.delete(worker);
    const hasMore = !isComplete && result.kind === 'done';
    // The worker was removed in the meantime, or the partition was lost and acquired again: only the new worker object
    // records what has been sent since, so no conclusion may be drawn from this result.
    if (workers.get(machineId) !== worker) return;
    this.applyResult(worker, { role, fencingToken, launches }, result);
    if (wasChanged) this.schedule(machineId);
    else if (hasMore) this.schedule(machineId, MORE_COMMANDS_DELAY_MS);
  }

  private commandsFor(worker: Worker, role: string, held: HeldLeadership): WorkerCommand[] {
    const { clusterState, reconciler } = this.dependencies;
    const desired = desiredTasksOn(clusterState, worker.machineId);
    const commands = reconciler.reconcile(worker, { role, held, desired, isHeartbeatResponse: false });
    return commands.filter((command) => this.maySend(worker, command, desired));
  }

  private maySend(worker: Worker, command: WorkerCommand, desired: ReadonlyMap<string, DesiredTask>): boolean {
    const isUncertain = this.isReachabilityUncertain(worker);
    switch (command.kind) {
      case 'kill':
        // A cancellation is final, so the kill may arrive at any time, from any node that knows of it.
        return !isUncertain || desired.get(command.taskId)?.isCancelled === true;
      case 'launch':
        // A launch that may still arrive is repeated in the next heartbeat response, not in another command request.
        return !isUncertain && !worker.launches.isInFlight(command);
      case 'forget':
        return false;
    }
  }

  /**
   * A worker whose heartbeats are forwarded by another node is cut off: commands would only hang, and may arrive late.
   * A silent one may be dead, or may be able to respond but not to send heartbeats.
   */
  private isReachabilityUncertain(worker: Worker): boolean {
    const { timings, leadership, clock } = this.dependencies;
    if (!leadership.hasRecentStoreContact || worker.reachability.forwardedBy !== undefined) return true;
    return clock.now() - worker.lastHeartbeatAt > SILENT_AFTER_MISSED_HEARTBEATS * timings.heartbeatIntervalMs;
  }

  private applyResult(worker: Worker, { role, fencingToken, launches }: SentCommands, result: CommandResult): void {
    const { leadership, clusterState, reconciler, clock, log } = this.dependencies;
    if (result.kind === 'unknown') {
      const attemptKeys = launches.map(({ taskId, attempt }) => attemptKeyFrom(taskId, attempt));
      log.info({ machineId: worker.machineId, launches: attemptKeys }, 'commands unanswered');
      return;
    }
    const isExecuted = result.kind === 'done';
    for (const launch of launches) {
      if (isExecuted) worker.launches.markAnswered(launch, fencingToken);
      else worker.launches.markNotExecuted(launch, fencingToken);
    }
    if (isExecuted) worker.reachability.recordCommandsDelivered();
    const workerStatus = workerStatusFrom(result, worker.machineId);
    if (workerStatus === undefined || !worker.applyStatus(workerStatus, clock.now(), false)) return;
    reconciler.recordImages(worker);
    const held = leadership.leadershipOf(role);
    if (held === undefined) return;
    const desired = desiredTasksOn(clusterState, worker.machineId);
    reconciler.reconcile(worker, { role, held, desired, isHeartbeatResponse: false });
  }
}

import { DRAIN_CHECK_PERIOD_MS } from '../constants/leadership.js';
import { COMMAND_BATCHING_MS, SILENT_HEARTBEATS } from '../constants/workers.js';
import type { WorkerTimings } from '../domain/settings.js';
import type { HeldLeadership, RoleLeadership } from '../leadership/role-leadership.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import type { HttpClient } from '../net/http-client.js';
import type { ClusterState } from '../records/cluster-state.js';
import { attemptKeyOfCommand } from './attempt-key.js';
import { type CommandResult, sendCommands, statusIn } from './command-client.js';
import { desiredTasksOn } from './desired-tasks.js';
import { machineRole } from './machine-role.js';
import type { DesiredTask } from './reconciliation.js';
import type { Worker } from './worker.js';
import type { WorkerReconciler } from './worker-reconciler.js';
import type { WorkerRegistry } from './worker-registry.js';
import type { WorkerCommand } from './worker-wire-codec.js';

/** What the sender reads and reconciles with, and how it reaches the workers. */
export interface CommandSenderDependencies {
  timings: WorkerTimings;
  leadership: RoleLeadership;
  clusterState: ClusterState;
  workers: WorkerRegistry;
  reconciler: WorkerReconciler;
  http: HttpClient;
  clock: Clock;
  log: Log;
}

/** Commands on their way, and what they were sent under. */
interface SentCommands {
  role: string;
  fencingToken: number;
  /** Attempt keys of the launches among them. */
  launches: readonly string[];
}

/**
 * Sends commands to workers directly, for speed: what is not sent here goes with the answer to the next heartbeat.
 * Invariant: at most one request with commands is on its way to a worker.
 */
export class CommandSender {
  /** Steady ms of the next send to each machine. */
  private readonly sendsDueAt = new Map<string, number>();
  /** Workers to which commands are on their way. */
  private readonly sending = new Set<Worker>();
  /** Of these, the ones for which there was more to send in between. */
  private readonly sendAgain = new Set<Worker>();
  private isDraining = false;

  constructor(private readonly dependencies: CommandSenderDependencies) {}

  /** Placements on a machine have changed: sends their commands after `gatherMs`, without waiting for a heartbeat. */
  schedule(machineId: string, gatherMs = COMMAND_BATCHING_MS): void {
    const { clock } = this.dependencies;
    const dueAt = clock.now() + gatherMs;
    if ((this.sendsDueAt.get(machineId) ?? Infinity) <= dueAt) return;
    this.sendsDueAt.set(machineId, dueAt);
    void clock.sleep(gatherMs).then(() => {
      // A send that could not wait has been quicker, or stands in for this one.
      if (this.sendsDueAt.get(machineId) !== dueAt) return undefined;
      this.sendsDueAt.delete(machineId);
      return this.send(machineId);
    });
  }

  /** Sends no more commands, and waits for the answers to those that are on their way, for `withinMs` at most. */
  async drain(withinMs: number): Promise<void> {
    const { workers, clock } = this.dependencies;
    this.isDraining = true;
    const until = clock.now() + withinMs;
    const isBusy = () => [...workers.values()].some((worker) => this.sending.has(worker));
    while (isBusy() && clock.now() < until) await clock.sleep(DRAIN_CHECK_PERIOD_MS);
  }

  private async send(machineId: string): Promise<void> {
    const { leadership, workers, http, log } = this.dependencies;
    const role = machineRole(leadership, machineId);
    const held = leadership.confirmedLeadershipOf(role);
    const worker = workers.get(machineId);
    if (held === undefined || worker === undefined || worker.agentEpoch === 0 || this.isDraining) return;
    if (this.sending.has(worker)) {
      this.sendAgain.add(worker);
      return;
    }
    const commands = this.commandsFor(worker, role, held);
    if (commands.length === 0) return;
    this.sending.add(worker);
    const { fencingToken } = held;
    const { endpoint, agentEpoch } = worker;
    const launches = commands.filter((command) => command.kind === 'launch').map(attemptKeyOfCommand);
    for (const attemptKey of launches) worker.launches.recordSent(attemptKey, fencingToken);
    const described = commands.map((command) => `${command.kind} ${attemptKeyOfCommand(command)}`);
    log.debug({ machineId, commands: described }, 'sending commands');
    const result = await sendCommands(http, endpoint, { fencingToken, agentEpoch, commands });
    this.sending.delete(worker);
    const isWantedAgain = this.sendAgain.delete(worker);
    // The partition was lost and is back: what has been sent since is known of the new worker only, so this one judges nothing.
    if (workers.get(machineId) !== worker) return;
    this.applyResult(worker, { role, fencingToken, launches }, result);
    if (isWantedAgain) this.schedule(machineId);
  }

  private commandsFor(worker: Worker, role: string, held: HeldLeadership): WorkerCommand[] {
    const { clusterState, reconciler } = this.dependencies;
    const desired = desiredTasksOn(clusterState, worker.machineId);
    const commands = reconciler.reconcile(worker, { role, held, desired, isHeartbeatAnswer: false });
    return commands.filter((command) => this.maySend(worker, command, desired));
  }

  private maySend(worker: Worker, command: WorkerCommand, desired: ReadonlyMap<string, DesiredTask>): boolean {
    const isInDoubt = this.isReachInDoubt(worker);
    switch (command.kind) {
      case 'kill':
        // The kill of a cancelled task is final, so it may come whenever it can, by whatever replica knows of it.
        return !isInDoubt || desired.get(command.taskId)?.isCancelled === true;
      case 'launch':
        // A launch that may still arrive is repeated by the answer to the next heartbeat, not by another command.
        return !isInDoubt && !worker.launches.has(attemptKeyOfCommand(command));
      case 'forget':
        return false;
    }
  }

  /**
   * A worker whose heartbeats another node forwards is cut off: commands would only hang, and may arrive late. One that is
   * silent may be dead, or can only answer.
   */
  private isReachInDoubt(worker: Worker): boolean {
    const { timings, leadership, clock } = this.dependencies;
    if (!leadership.hasRecentStoreContact || worker.reachability.forwardedBy !== undefined) return true;
    return clock.now() - worker.lastHeartbeatAt > SILENT_HEARTBEATS * timings.heartbeatIntervalMs;
  }

  private applyResult(worker: Worker, { role, fencingToken, launches }: SentCommands, result: CommandResult): void {
    const { leadership, clusterState, reconciler, clock, log } = this.dependencies;
    if (result.kind === 'unknown') {
      log.info({ machineId: worker.machineId, launches }, 'commands unanswered');
      return;
    }
    for (const attemptKey of launches) worker.launches.settle(attemptKey, fencingToken);
    if (result.kind === 'done') worker.reachability.recordCommandsDelivered();
    const workerStatus = statusIn(result, worker.machineId);
    if (workerStatus === undefined || !worker.applyStatus(workerStatus, clock.now(), false)) return;
    reconciler.recordImages(worker);
    const held = leadership.leadershipOf(role);
    if (held === undefined) return;
    const desired = desiredTasksOn(clusterState, worker.machineId);
    reconciler.reconcile(worker, { role, held, desired, isHeartbeatAnswer: false });
  }
}

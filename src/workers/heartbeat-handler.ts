import { MAX_COMMANDS_BYTES } from '../constants/workers.js';
import type { Settings } from '../domain/settings.js';
import { heartbeatLateMs } from '../domain/worker-deadlines.js';
import type { HeldLeadership, RoleLeadership } from '../leadership/role-leadership.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import type { ClusterState } from '../records/cluster-state.js';
import { attemptKeyOfCommand } from './attempt-key.js';
import type { CancelledLaunchGuard } from './cancelled-launch-guard.js';
import { desiredTasksOn } from './desired-tasks.js';
import { machineRole } from './machine-role.js';
import type { MisroutedWorkers } from './misrouted-workers.js';
import type { DesiredTask } from './reconciliation.js';
import type { StragglerDetector } from './straggler-detector.js';
import { Worker } from './worker.js';
import type { HeartbeatOutcome, WorkerManagerEvents } from './worker-manager-dependencies.js';
import type { WorkerReconciler } from './worker-reconciler.js';
import type { WorkerRegistry } from './worker-registry.js';
import { encodeCommand, type WireCommand, type WorkerCommand, type WorkerStatus } from './worker-wire-codec.js';

/** What a heartbeat is judged by, and the parts that its status is handed to. */
export interface HeartbeatHandlerDependencies {
  settings: Settings;
  leadership: RoleLeadership;
  clusterState: ClusterState;
  workers: WorkerRegistry;
  misroutedWorkers: MisroutedWorkers;
  reconciler: WorkerReconciler;
  stragglers: StragglerDetector;
  cancelledLaunchGuard: CancelledLaunchGuard;
  events: WorkerManagerEvents;
  clock: Clock;
  log: Log;
}

/** A heartbeat of a worker whose partition is led here. */
interface OwnHeartbeat {
  workerStatus: WorkerStatus;
  forwardedBy: string | undefined;
  role: string;
  held: HeldLeadership;
}

/** Decides what a heartbeat is answered: commands and a renewed lease, a redirect, or a refusal. */
export class HeartbeatHandler {
  constructor(private readonly dependencies: HeartbeatHandlerDependencies) {}

  /** `forwardedBy` is the node that forwarded the heartbeat, if one did. */
  handle(workerStatus: WorkerStatus, forwardedBy: string | undefined): HeartbeatOutcome {
    const { leadership, events } = this.dependencies;
    const { machineId } = workerStatus;
    // A late copy of a terminated machine's: it must not bring the machine back.
    if (events.isTerminated(machineId)) return { kind: 'redirected', node: undefined, canForward: false };
    const role = machineRole(leadership, machineId);
    const held = leadership.servingLeadershipOf(role);
    // A worker that has seen a higher token has a new leader, of which a node without store and peers knows nothing. Its 200
    // would be dropped, and would keep the worker here while its lease runs out.
    if (held === undefined || workerStatus.fencingToken > held.fencingToken) return this.redirect(workerStatus, role);
    return this.handleOwn({ workerStatus, forwardedBy, role, held });
  }

  private handleOwn(heartbeat: OwnHeartbeat): HeartbeatOutcome {
    const { clusterState, workers, cancelledLaunchGuard, log } = this.dependencies;
    const { workerStatus, role, held } = heartbeat;
    const { machineId, agentEpoch } = workerStatus;
    const worker = workers.get(machineId) ?? this.register(workerStatus, role);
    // A late copy was sent before the newest heartbeat that is known: its answer makes no lease any longer.
    if (worker.isLate(workerStatus)) return { kind: 'answered', fencingToken: held.fencingToken, commands: [] };
    if (agentEpoch > worker.agentEpoch && worker.agentEpoch > 0) {
      log.info({ machineId, agentEpoch }, 'agent epoch advanced');
    }
    const desired = desiredTasksOn(clusterState, machineId);
    if (cancelledLaunchGuard.mustLetLeaseExpire({ worker, workerStatus, held, desired })) {
      return { kind: 'unavailable', error: 'no new token' };
    }
    return this.answer(worker, heartbeat, desired);
  }

  private answer(worker: Worker, heartbeat: OwnHeartbeat, desired: Map<string, DesiredTask>): HeartbeatOutcome {
    const { settings, reconciler, stragglers, events, clock } = this.dependencies;
    const { workerStatus, forwardedBy, role, held } = heartbeat;
    const { fencingToken } = held;
    const now = clock.now();
    events.workerAnswered(role);
    const lateMs = heartbeatLateMs(settings.cluster.workers);
    worker.recordAnswer({ status: workerStatus, fencingToken, forwardedBy, lateMs, now });
    // A heartbeat that crossed a newer answer to commands is no late copy: the worker waits for its answer.
    worker.applyStatus(workerStatus, now, true);
    reconciler.recordImages(worker);
    events.heartbeatReceived(workerStatus);
    stragglers.checkRunning(worker);
    const commands = reconciler.reconcile(worker, { role, held, desired, isHeartbeatAnswer: true });
    return { kind: 'answered', fencingToken, commands: this.encodeCommands(worker, commands, workerStatus.sequence) };
  }

  /** First contact with a worker in this term. */
  private register(workerStatus: WorkerStatus, role: string): Worker {
    const { workers, events, log } = this.dependencies;
    const { machineId, agentEpoch, machineType } = workerStatus;
    const worker = new Worker(machineId);
    worker.imageCache.addKnown(events.knownImages(machineId));
    workers.add(worker);
    log.debug({ machineId, role, agentEpoch, machineType }, 'worker registered');
    return worker;
  }

  /** As many commands as an answer holds; the rest goes with the next one. */
  private encodeCommands(worker: Worker, commands: readonly WorkerCommand[], sequence: number): WireCommand[] {
    const encoded: WireCommand[] = [];
    let bytes = 0;
    for (const command of commands) {
      const wireCommand = encodeCommand(command);
      bytes += JSON.stringify(wireCommand).length + 1;
      if (bytes > MAX_COMMANDS_BYTES) break;
      encoded.push(wireCommand);
      if (command.kind === 'launch') this.recordLaunch(worker, command, sequence);
    }
    return encoded;
  }

  private recordLaunch(worker: Worker, command: WorkerCommand, sequence: number): void {
    worker.launches.recordInAnswer(attemptKeyOfCommand(command), sequence);
    const { machineId } = worker;
    const { taskId, attempt } = command;
    this.dependencies.log.debug({ machineId, taskId, attempt }, 'launch added to heartbeat answer');
  }

  private redirect(workerStatus: WorkerStatus, role: string): HeartbeatOutcome {
    const { settings, leadership, clusterState, misroutedWorkers, events, clock } = this.dependencies;
    const node = leadership.leaderOf(role);
    if (node === undefined || node === settings.node) return { kind: 'unavailable', error: 'not entitled' };
    // Copies of heartbeats come late, by a lease and more: they are no sign of life, and nobody waits for their answer.
    if (events.isLate(workerStatus)) return { kind: 'redirected', node, canForward: false };
    const leaderToken = clusterState.leadershipRecords.get(role)?.modRevision;
    const canForward = misroutedWorkers.recordHeartbeat(workerStatus, leaderToken, clock.now());
    return { kind: 'redirected', node, canForward };
  }
}

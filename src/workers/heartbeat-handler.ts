import type { Count } from '../domain/count.js';
import type { Settings } from '../domain/settings.js';
import { heartbeatLateMs } from '../domain/worker-deadlines.js';
import type { HeldLeadership, RoleLeadership } from '../leadership/role-leadership.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { CancelledLaunchGuard } from './cancelled-launch-guard.js';
import { commandsForOneMessage } from './command-batch.js';
import type { CommandLog, CommandTarget } from './command-log.js';
import { desiredTasksOn } from './desired-tasks.js';
import { machineRole } from './machine-role.js';
import type { MisroutedWorkers } from './misrouted-workers.js';
import type { DesiredTask } from './reconciliation.js';
import type { StragglerDetector } from './straggler-detector.js';
import type { Worker } from './worker.js';
import type { HeartbeatOutcome, WorkerManagerEvents } from './worker-manager-dependencies.js';
import type { WorkerReconciler } from './worker-reconciler.js';
import type { WorkerRegistry } from './worker-registry.js';
import { encodeCommand, type WireCommand, type WorkerCommand, type WorkerStatus } from './worker-wire-codec.js';

/** State that decides the response to a heartbeat, and the components that process its status. */
export interface HeartbeatHandlerDependencies {
  settings: Settings;
  leadership: RoleLeadership;
  clusterState: ClusterState;
  workers: WorkerRegistry;
  misroutedWorkers: MisroutedWorkers;
  reconciler: WorkerReconciler;
  stragglerDetector: StragglerDetector;
  cancelledLaunchGuard: CancelledLaunchGuard;
  commandLog: CommandLog;
  events: WorkerManagerEvents;
  clock: Clock;
  log: Log;
}

/** A heartbeat of a worker whose partition this node leads. */
interface OwnHeartbeat {
  workerStatus: WorkerStatus;
  forwardedBy: string | undefined;
  role: string;
  held: HeldLeadership;
}

/** Decides the response to a heartbeat: commands and a renewed lease, a redirect, or a refusal. */
export class HeartbeatHandler {
  constructor(private readonly dependencies: HeartbeatHandlerDependencies) {}

  /** @param forwardedBy the node that forwarded the heartbeat; undefined if the worker sent it directly */
  handle(workerStatus: WorkerStatus, forwardedBy: string | undefined): HeartbeatOutcome {
    const { leadership, events } = this.dependencies;
    const { machineId } = workerStatus;
    // Heartbeats of a terminated machine are late copies, and must not register it again.
    if (events.isTerminated(machineId)) return { kind: 'redirected', node: undefined, shouldForward: false };
    const role = machineRole(leadership, machineId);
    const held = leadership.servingLeadershipOf(role);
    // A worker that has seen a higher token has a new leader, which this node can't know of while it is cut off from
    // the store and its peers. The worker would ignore a 200 from here, but would keep sending heartbeats here until
    // its lease expires.
    if (held === undefined || workerStatus.fencingToken > held.fencingToken) return this.redirect(workerStatus, role);
    return this.handleOwnWorker({ workerStatus, forwardedBy, role, held });
  }

  private handleOwnWorker(heartbeat: OwnHeartbeat): HeartbeatOutcome {
    const { clusterState, workers, cancelledLaunchGuard, log } = this.dependencies;
    const { workerStatus, role, held } = heartbeat;
    const { machineId, agentEpoch } = workerStatus;
    const worker = workers.get(machineId) ?? this.register(workerStatus, role);
    // A late copy was sent before the newest known heartbeat, so a response to it extends no lease.
    if (worker.isLate(workerStatus)) return { kind: 'answered', fencingToken: held.fencingToken, commands: [] };
    if (agentEpoch > worker.agentEpoch && worker.agentEpoch > 0) {
      log.info({ machineId, agentEpoch }, 'agent epoch advanced');
    }
    const desired = desiredTasksOn(clusterState, machineId);
    if (cancelledLaunchGuard.mustLetLeaseExpire({ worker, workerStatus, held, desired })) {
      return { kind: 'unavailable', error: 'no new token' };
    }
    return this.respond(worker, heartbeat, desired);
  }

  private respond(worker: Worker, heartbeat: OwnHeartbeat, desired: Map<string, DesiredTask>): HeartbeatOutcome {
    const { settings, reconciler, stragglerDetector, events, clock } = this.dependencies;
    const { workerStatus, forwardedBy, role, held } = heartbeat;
    const { fencingToken } = held;
    const now = clock.now();
    events.workerAnswered(role);
    const lateAfterMs = heartbeatLateMs(settings.cluster.workers);
    worker.recordResponse({ status: workerStatus, fencingToken, forwardedBy, lateAfterMs, now });
    // A heartbeat that was overtaken by a newer command response is not a late copy, since the worker waits for the
    // response to it. So an outdated status does not end the handling here.
    worker.applyStatus(workerStatus, now, true);
    reconciler.recordImages(worker);
    events.heartbeatReceived(workerStatus);
    stragglerDetector.checkRunning(worker);
    const commands = reconciler.reconcile(worker, { role, held, desired, isHeartbeatResponse: true });
    const { agentEpoch, sequence } = worker;
    const target: CommandTarget = {
      machineId: worker.machineId,
      channel: 'response',
      fencingToken,
      agentEpoch,
      sequence,
    };
    return {
      kind: 'answered',
      fencingToken,
      commands: this.encodeCommands(worker, commands, { target, heartbeatSequence: workerStatus.sequence }),
    };
  }

  /** Registers a worker at the first contact in this leadership term. */
  private register(workerStatus: WorkerStatus, role: string): Worker {
    const { workers, events, log } = this.dependencies;
    const { machineId, agentEpoch, machineType } = workerStatus;
    const worker = workers.create(machineId);
    worker.imageCache.addKnown(events.knownImages(machineId));
    workers.add(worker);
    log.debug({ machineId, role, agentEpoch, machineType }, 'worker registered');
    return worker;
  }

  /** Encodes as many commands as fit into one response; the next response carries the rest. */
  private encodeCommands(
    worker: Worker,
    commands: readonly WorkerCommand[],
    { target, heartbeatSequence }: { target: CommandTarget; heartbeatSequence: Count },
  ): WireCommand[] {
    const sent = commandsForOneMessage(commands);
    for (const command of sent) {
      this.dependencies.commandLog.record(target, command);
      if (command.kind === 'launch') worker.launches.recordInHeartbeatResponse(command, heartbeatSequence);
    }
    return sent.map(encodeCommand);
  }

  private redirect(workerStatus: WorkerStatus, role: string): HeartbeatOutcome {
    const { settings, leadership, clusterState, misroutedWorkers, events, clock } = this.dependencies;
    const node = leadership.leaderOf(role);
    if (node === undefined || node === settings.node) return { kind: 'unavailable', error: 'not entitled' };
    // A late copy of a heartbeat may arrive more than a lease after the heartbeat was sent. It doesn't show that the
    // worker is alive, and the worker doesn't wait for a response to it.
    if (events.isLate(workerStatus)) return { kind: 'redirected', node, shouldForward: false };
    const leaderToken = clusterState.leadershipRecords.get(role)?.modRevision;
    const shouldForward = misroutedWorkers.recordHeartbeat(workerStatus, leaderToken, clock.now());
    return { kind: 'redirected', node, shouldForward };
  }
}

import { SWEEP_PERIOD_MS, WORKER_RETENTION_LEASES } from '../constants/workers.js';
import { CancelledLaunchGuard } from './cancelled-launch-guard.js';
import { CommandLog } from './command-log.js';
import { CommandSender } from './command-sender.js';
import { ExitRecorder } from './exit-recorder.js';
import { FencingTokenAdvancer } from './fencing-token-advancer.js';
import { type AnnouncementTarget, FencingTokenSender } from './fencing-token-sender.js';
import { HeartbeatHandler } from './heartbeat-handler.js';
import { machineRole } from './machine-role.js';
import { MisroutedWorkers } from './misrouted-workers.js';
import { PlacementReleaser } from './placement-releaser.js';
import { StragglerDetector } from './straggler-detector.js';
import { SurplusPlacementEvictor } from './surplus-placement-evictor.js';
import type { HeartbeatOutcome, WorkerManagerDependencies } from './worker-manager-dependencies.js';
import { WorkerReconciler } from './worker-reconciler.js';
import { WorkerRegistry } from './worker-registry.js';
import type { WorkerStatus } from './worker-wire-codec.js';

/**
 * Manages the workers of the partitions that this controller leads. This class only composes the components and runs
 * the periodic sweep; heartbeats, direct commands, token announcements and placement releases are separate components.
 */
export class WorkerManager {
  /** The workers of the partitions that this node leads. */
  readonly workers: WorkerRegistry;
  /** Workers that send their heartbeats here although another node leads their partition. */
  readonly misroutedWorkers = new MisroutedWorkers();
  /** Counts the commands that are sent to workers. */
  readonly commandLog: CommandLog;
  private readonly stragglerDetector: StragglerDetector;
  private readonly surplusEvictor: SurplusPlacementEvictor;
  private readonly releaser: PlacementReleaser;
  private readonly heartbeatHandler: HeartbeatHandler;
  private readonly commandSender: CommandSender;
  private readonly tokenSender: FencingTokenSender;

  constructor(private readonly dependencies: WorkerManagerDependencies) {
    const { settings, leadership, clock, events } = dependencies;
    const timings = settings.cluster.workers;
    const workers = new WorkerRegistry(leadership, timings);
    const stragglerDetector = new StragglerDetector(dependencies);
    const exitRecorder = new ExitRecorder({ ...dependencies, workers, stragglerDetector });
    const releaser = new PlacementReleaser({ ...dependencies, workers, exitRecorder });
    const tokenAdvancer = new FencingTokenAdvancer({
      leadership,
      clock,
      exitBatchingMs: timings.workerLeaseMs,
      pushCommands: (machineId) => this.pushCommands(machineId),
    });
    const imageCacheGb = (machineType: string) => events.imageCacheGb(machineType);
    const commandLog = new CommandLog(dependencies.log);
    const reconciler = new WorkerReconciler({ ...dependencies, releaser, tokenAdvancer, commandLog, imageCacheGb });
    const cancelledLaunchGuard = new CancelledLaunchGuard({ leadership, timings, clock });
    const { misroutedWorkers } = this;
    this.workers = workers;
    this.commandLog = commandLog;
    this.stragglerDetector = stragglerDetector;
    this.surplusEvictor = new SurplusPlacementEvictor(dependencies);
    this.releaser = releaser;
    this.heartbeatHandler = new HeartbeatHandler({
      ...dependencies,
      workers,
      misroutedWorkers,
      reconciler,
      stragglerDetector,
      cancelledLaunchGuard,
      commandLog,
    });
    this.commandSender = new CommandSender({ ...dependencies, timings, workers, reconciler, commandLog });
    this.tokenSender = new FencingTokenSender({ ...dependencies, workers, commandSender: this.commandSender });
  }

  /** The role whose leader serves the machine. */
  roleOf(machineId: string): string {
    return machineRole(this.dependencies.leadership, machineId);
  }

  /** Decides the response to a heartbeat; `forwardedBy` is the node that forwarded it, if one did. */
  handleHeartbeat(workerStatus: WorkerStatus, forwardedBy?: string): HeartbeatOutcome {
    return this.heartbeatHandler.handle(workerStatus, forwardedBy);
  }

  /** Sends the commands for a machine's changed placements after `delayMs`, without waiting for its next heartbeat. */
  pushCommands(machineId: string, delayMs?: number): void {
    this.commandSender.schedule(machineId, delayMs);
  }

  /** Sends no more commands, and waits up to `timeoutMs` for the responses to those in flight. */
  drain(timeoutMs: number): Promise<void> {
    return this.commandSender.drain(timeoutMs);
  }

  /** Sends the fencing token to a worker without contact since the takeover. */
  announceToken(target: AnnouncementTarget): Promise<void> {
    return this.tokenSender.send(target);
  }

  /** Sweeps periodically until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.dependencies.clock.sleep(SWEEP_PERIOD_MS, signal);
      this.sweep();
    }
  }

  private sweep(): void {
    const now = this.dependencies.clock.now();
    this.misroutedWorkers.prune(now);
    this.tokenSender.prune(now);
    this.releaser.releaseExpired();
    const roleOf = (machineId: string) => this.roleOf(machineId);
    this.stragglerDetector.evictFromSlowMachines(this.workers.values(), roleOf);
    this.surplusEvictor.evict(this.workers.values(), roleOf);
    this.forgetSilentWorkers(now);
  }

  private forgetSilentWorkers(now: number): void {
    const { settings, clusterState } = this.dependencies;
    const silentMs = WORKER_RETENTION_LEASES * settings.cluster.workers.workerLeaseMs;
    for (const { machineId, lastContactAt } of [...this.workers.values()]) {
      if (now - lastContactAt > silentMs && clusterState.taskCountOn(machineId) === 0) this.workers.forget(machineId);
    }
  }
}

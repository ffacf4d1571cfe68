import { DRAIN_CHECK_PERIOD_MS, REPLICA_FRESH_MS, TOKEN_ADVANCE_PAUSE_MS } from '../constants/leadership.js';
import {
  FORGET_WORKER_LEASES,
  MAX_COMMANDS_BYTES,
  MAX_TOKEN_ANNOUNCEMENTS,
  PUSH_GATHER_MS,
  SILENT_HEARTBEATS,
  SWEEP_MS,
  TOKEN_ANNOUNCE_AGAIN_MS,
  TOKEN_ANNOUNCEMENTS_SHARE,
} from '../constants/workers.js';
import type { Settings } from '../domain/settings.js';
import type { ClusterState, PlacedTask } from '../records/cluster-state.js';
import { parseTaskId } from '../domain/task.js';
import type { Proof } from '../records/placement-rules.js';
import { type CommandResult, sendCommands } from './command-client.js';
import {
  attemptKeyOf,
  attemptKeyOfCommand,
  type DesiredTask,
  findProof,
  type PlacementRelease,
  type ReconciliationPlan,
  reconcile,
  type CommandRights,
  taskIdOfPlaced,
} from './reconciliation.js';
import { encodeCommand, WireCommand, type WorkerCommand, type WorkerStatus } from './worker-wire-codec.js';
import { leaseOverAt, heartbeatLateMs } from '../domain/worker-deadlines.js';
import { Worker } from './worker.js';
import { degradedServingMs, type HeldLeadership, type RoleLeadership } from '../leadership/role-leadership.js';
import { partitionRole } from '../domain/role.js';
import { ExitRecorder } from './exit-recorder.js';
import { MisroutedWorkers } from './misrouted-workers.js';
import { StragglerDetector } from './straggler-detector.js';
import { WorkerRegistry } from './worker-registry.js';
import { HeartbeatOutcome, WorkerManagerDependencies, WorkerManagerEvents } from './worker-manager-dependencies.js';
import type { Clock } from '../net/clock.js';
import type { HttpClient } from '../net/http-client.js';
import type { Replica } from '../store/replica.js';
import type { Log } from '../logging/log.js';

/** The session's lease is over, as this node knows by itself. */
const expiryProof = (placedTask: PlacedTask): Proof => ({
  kind: 'lease',
  agentEpoch: placedTask.placement.agentEpoch,
});

/** What an owner does for the workers of its partitions: answers reports, sends commands, records exits, proves leases over. */
export class WorkerManager {
  readonly workers: WorkerRegistry;
  readonly misroutedWorkers = new MisroutedWorkers();
  private readonly settings: Settings;
  private readonly leadership: RoleLeadership;
  private readonly replica: Replica;
  private readonly clusterState: ClusterState;
  private readonly http: HttpClient;
  private readonly clock: Clock;
  private readonly events: WorkerManagerEvents;
  private readonly log: Log;
  private readonly exits: ExitRecorder;
  private readonly stragglers: StragglerDetector;
  /** Steady ms of the next push to each machine. */
  private readonly sendsDueAt = new Map<string, number>();
  private announcementsInFlight = 0;
  private isDraining = false;
  private readonly tokenAnnouncedAt = new Map<string, number>();
  private readonly advancedAt = new Map<string, number>();

  constructor(dependencies: WorkerManagerDependencies) {
    const { settings, leadership, replica, clusterState, transactions, http, clock, events, log } = dependencies;
    this.settings = settings;
    this.leadership = leadership;
    this.replica = replica;
    this.clusterState = clusterState;
    this.http = http;
    this.clock = clock;
    this.events = events;
    this.log = log;
    this.workers = new WorkerRegistry(leadership, settings.cluster.workers);
    this.stragglers = new StragglerDetector(leadership, clusterState, transactions, clock, log);
    this.exits = new ExitRecorder({ ...dependencies, workers: this.workers, stragglers: this.stragglers });
  }

  roleOf(machineId: string): string {
    return partitionRole(this.leadership.partitionOf(machineId));
  }

  isSilent(worker: Worker, now: number): boolean {
    return now - worker.lastHeartbeatAt > SILENT_HEARTBEATS * this.settings.cluster.workers.heartbeatIntervalMs;
  }

  /** Answers a report; `forwardedBy` is the node that passed it on, if one did. */
  handleHeartbeat(workerStatus: WorkerStatus, forwardedBy?: string): HeartbeatOutcome {
    // A late copy of a machine's that is gone: it must not bring the machine back to life.
    if (this.events.isTerminated(workerStatus.machineId))
      return { kind: 'redirected', node: undefined, canForward: false };
    const role = this.roleOf(workerStatus.machineId);
    const held = this.leadership.servingLeadershipOf(role);
    const now = this.clock.now();
    // A worker that has seen a higher token has a new owner, of whom a node without store and peers knows nothing. Its 200
    // would be dropped, and would keep the worker here while its lease runs out.
    if (held === undefined || workerStatus.fencingToken > held.fencingToken)
      return this.redirect(workerStatus, role, now);
    const worker = this.workers.get(workerStatus.machineId) ?? this.addWorker(workerStatus, role);
    // A late copy was sent before the newest report that is known: its answer makes no lease any longer.
    if (worker.isLate(workerStatus)) return { kind: 'answered', fencingToken: held.fencingToken, commands: [] };
    const newSession = workerStatus.agentEpoch > worker.agentEpoch && worker.agentEpoch > 0;
    if (newSession)
      this.log.info(
        { machine: workerStatus.machineId, agentEpoch: workerStatus.agentEpoch },
        'worker began a new session',
      );
    const desired = this.desiredOn(workerStatus.machineId);
    if (this.mustExpire(worker, workerStatus, held, desired, now))
      return { kind: 'unavailable', error: 'no new token' };
    this.events.workerAnswered(role);
    worker.recordAnswer({
      status: workerStatus,
      fencingToken: held.fencingToken,
      forwardedBy,
      lateMs: heartbeatLateMs(this.settings.cluster.workers),
      now,
    });
    // A report that crossed a newer answer of `/commands` is no late copy: the worker waits for its answer.
    worker.applyStatus(workerStatus, now, true);
    this.recordImages(worker);
    this.events.heartbeatReceived(workerStatus);
    this.stragglers.checkRunning(worker);
    const plan = reconcile(worker, desired, this.rightsOf(held, true));
    this.applyPlan(worker, role, plan);
    const commands = this.encodeAnswer(worker, plan.commands, workerStatus.sequence);
    return { kind: 'answered', fencingToken: held.fencingToken, commands };
  }

  /** A worker that is heard for the first time. */
  private addWorker(workerStatus: WorkerStatus, role: string): Worker {
    const worker = new Worker(workerStatus.machineId);
    worker.imageCache.addKnown(this.events.knownImages(workerStatus.machineId));
    this.workers.add(worker);
    this.log.debug(
      {
        machine: workerStatus.machineId,
        role,
        agentEpoch: workerStatus.agentEpoch,
        machineType: workerStatus.machineType,
      },
      'worker heard',
    );
    return worker;
  }

  /** As many orders as an answer holds; the rest goes with the next one. */
  private encodeAnswer(worker: Worker, commands: readonly WorkerCommand[], sequence: number): WireCommand[] {
    const encoded: WireCommand[] = [];
    let bytes = 0;
    for (const command of commands) {
      const wire = encodeCommand(command);
      bytes += JSON.stringify(wire).length + 1;
      if (bytes > MAX_COMMANDS_BYTES) break;
      encoded.push(wire);
      if (command.kind !== 'launch') continue;
      worker.launches.recordInAnswer(attemptKeyOfCommand(command), sequence);
      this.log.debug(
        { machine: worker.machineId, taskIndex: command.taskId, attempt: command.attempt },
        'launch in answer',
      );
    }
    return encoded;
  }

  /**
   * A launch of a cancelled task may still be on its way, and no new token has shut it out, since the store gives none. It
   * is carried out whenever it arrives, so the lease has to end instead, early enough. The cancellation may be older than
   * its first sight here by one lease (a worker not heard for longer is in a new session), the age of the copy and a delay.
   */
  private mustExpire(
    worker: Worker,
    workerStatus: WorkerStatus,
    held: HeldLeadership,
    desired: Map<string, DesiredTask>,
    now: number,
  ): boolean {
    const isOpen = ([name, { placedTask, isCancelled }]: [string, DesiredTask]) => {
      const fencingToken = worker.launches.unansweredToken(attemptKeyOf(placedTask));
      const there = workerStatus.tasks.get(name)?.attempt === placedTask.placement.attempt;
      return (
        isCancelled &&
        !there &&
        fencingToken !== undefined &&
        fencingToken >= Math.max(workerStatus.fencingToken, held.fencingToken)
      );
    };
    // Nearly always no launch is open, and nothing is looked through.
    const any =
      worker.launches.hasUnanswered && workerStatus.agentEpoch === worker.agentEpoch && [...desired].some(isOpen);
    if (!any) {
      worker.launches.cancelledSince = undefined;
      return false;
    }
    worker.launches.cancelledSince ??= now;
    // With the store a new token is a moment away, and goes out with the next answer.
    if (this.leadership.isInTouchWithStore) return false;
    const { workers } = this.settings.cluster;
    return (
      now - worker.launches.cancelledSince >=
      degradedServingMs(workers) - leaseOverAt(0, workers.workerLeaseMs) - 2 * REPLICA_FRESH_MS
    );
  }

  private redirect(workerStatus: WorkerStatus, role: string, now: number): HeartbeatOutcome {
    const partitionLeader = this.leadership.leaderOf(role);
    if (partitionLeader === undefined || partitionLeader === this.settings.node)
      return { kind: 'unavailable', error: 'not entitled' };
    // Copies of reports come late, by a lease and more: they are no sign of life, and nobody waits for their answer.
    if (this.events.isLate(workerStatus)) return { kind: 'redirected', node: partitionLeader, canForward: false };
    const canForward = this.misroutedWorkers.recordHeartbeat(
      workerStatus,
      this.clusterState.leadershipRecords.get(role)?.modRevision,
      now,
    );
    return { kind: 'redirected', node: partitionLeader, canForward };
  }

  private rightsOf(held: HeldLeadership, isHeartbeatAnswer: boolean): CommandRights {
    // What the former owner freed, and its worker has forgotten, starts again unless it is known here.
    const knowsAllPlacements = this.replica.revision >= held.term.startRevision;
    return {
      fencingToken: held.fencingToken,
      canLaunch: knowsAllPlacements && this.leadership.isInTouchWithStore,
      knowsAllPlacements,
      isHeartbeatAnswer,
    };
  }

  private desiredOn(machineId: string): Map<string, DesiredTask> {
    const desired = new Map<string, DesiredTask>();
    for (const placedTask of this.clusterState.tasksOn(machineId))
      desired.set(taskIdOfPlaced(placedTask), this.desiredTaskOf(placedTask));
    return desired;
  }

  private desiredTaskOf(placedTask: PlacedTask): DesiredTask {
    const record = this.clusterState.jobs.get(placedTask.jobId)?.record;
    return { placedTask, isCancelled: record?.state === 'cancelled', isInGang: record?.spec.kind === 'gang' };
  }

  private recordImages(worker: Worker): void {
    for (const [name, task] of worker.tasks) {
      if (task.state === 'fetching') continue;
      const jobId = parseTaskId(name)?.jobId;
      const spec = jobId === undefined ? undefined : this.clusterState.jobs.get(jobId)?.record.spec;
      if (spec === undefined || (task.state === 'exited' && task.exitReason !== 'done')) continue;
      if (worker.imageCache.markRecorded(`${name}#${task.attempt}`))
        worker.imageCache.add(spec.image, spec.imageGb, this.events.cacheGb(worker.machineType));
    }
  }

  private applyPlan(worker: Worker, role: string, plan: ReconciliationPlan): void {
    for (const release of plan.releases) this.recordExit(worker.machineId, role, release);
    if (plan.needsNewToken) this.advanceFencingToken(role);
  }

  private recordExit(machineId: string, role: string, release: PlacementRelease): void {
    this.exits.record(machineId, role, release, () => this.currentProof(machineId, role, release.placedTask));
  }

  /** Raising costs a change and a report of every worker, so it is done rarely. */
  private advanceFencingToken(role: string): void {
    const now = this.clock.now();
    if (now - (this.advancedAt.get(role) ?? -Infinity) < TOKEN_ADVANCE_PAUSE_MS || !this.leadership.isInTouchWithStore)
      return;
    this.advancedAt.set(role, now);
    void this.leadership.advanceFencingToken(role);
  }

  /** The ledger of a machine has changed: tell its worker soon, without waiting for its next report. */
  pushCommands(machineId: string, gatherMs = PUSH_GATHER_MS): void {
    const due = this.clock.now() + gatherMs;
    if ((this.sendsDueAt.get(machineId) ?? Infinity) <= due) return;
    this.sendsDueAt.set(machineId, due);
    void this.clock.sleep(gatherMs).then(() => {
      // A push that could not wait has been quicker, or stands in for this one.
      if (this.sendsDueAt.get(machineId) !== due) return undefined;
      this.sendsDueAt.delete(machineId);
      return this.sendNow(machineId);
    });
  }

  private async sendNow(machineId: string): Promise<void> {
    const role = this.roleOf(machineId);
    const held = this.leadership.confirmedLeadershipOf(role);
    const worker = this.workers.get(machineId);
    if (held === undefined || worker === undefined || worker.agentEpoch === 0 || this.isDraining) return;
    if (worker.isSendingCommands) {
      worker.mustSendAgain = true;
      return;
    }
    const desired = this.desiredOn(machineId);
    const plan = reconcile(worker, desired, this.rightsOf(held, false));
    this.applyPlan(worker, role, plan);
    const commands = plan.commands.filter((command) => this.maySend(worker, command, desired));
    if (commands.length === 0) return;
    worker.isSendingCommands = true;
    const launches = commands.filter((command) => command.kind === 'launch').map(attemptKeyOfCommand);
    for (const key of launches) worker.launches.recordSent(key, held.fencingToken);
    this.log.debug(
      { machine: machineId, commands: commands.map((o) => `${o.kind} ${attemptKeyOfCommand(o)}`) },
      'commands',
    );
    const result = await sendCommands(this.http, worker.endpoint, held.fencingToken, worker.agentEpoch, commands);
    worker.isSendingCommands = false;
    // The partition was lost and is back: what has been sent since is known of the new worker only, so this one judges nothing.
    if (this.workers.get(machineId) !== worker) return;
    this.applyCommandResult(worker, role, launches, held.fencingToken, result);
    if (worker.mustSendAgain) {
      worker.mustSendAgain = false;
      this.pushCommands(machineId);
    }
  }

  /** Sends no more commands, and waits for the answers to those that are out, for so long at most. */
  async drain(withinMs: number): Promise<void> {
    this.isDraining = true;
    const until = this.clock.now() + withinMs;
    const isBusy = () => [...this.workers.values()].some((worker) => worker.isSendingCommands);
    while (isBusy() && this.clock.now() < until) await this.clock.sleep(DRAIN_CHECK_PERIOD_MS);
  }

  private maySend(worker: Worker, command: WorkerCommand, desired: ReadonlyMap<string, DesiredTask>): boolean {
    // A worker that reports by way of another node is behind a cut: commands would only hang, and may arrive late. One that
    // is silent may be dead, or can only answer.
    const isFar =
      !this.leadership.isInTouchWithStore ||
      this.isSilent(worker, this.clock.now()) ||
      worker.reachability.forwardedBy !== undefined;
    // The kill of a cancelled task is final, so it may come whenever it can, by whatever copy knows of it.
    if (command.kind === 'kill') return !isFar || desired.get(command.taskId)?.isCancelled === true;
    if (command.kind !== 'launch' || isFar) return false;
    // A launch whose arrival is open is repeated by the next report's answer, not by another command.
    const key = attemptKeyOfCommand(command);
    return !worker.launches.has(key);
  }

  private applyCommandResult(
    worker: Worker,
    role: string,
    launches: readonly string[],
    fencingToken: number,
    result: CommandResult,
  ): void {
    if (result.kind === 'unknown') {
      this.log.info({ machine: worker.machineId, launches }, 'commands without an answer');
      return;
    }
    for (const key of launches) worker.launches.settle(key, fencingToken);
    if (result.kind === 'done') worker.reachability.recordCommandsDelivered();
    if (!('workerStatus' in result) || result.workerStatus?.machineId !== worker.machineId) return;
    if (!worker.applyStatus(result.workerStatus, this.clock.now(), false)) return;
    this.recordImages(worker);
    const held = this.leadership.leadershipOf(role);
    if (held === undefined) return;
    this.applyPlan(worker, role, reconcile(worker, this.desiredOn(worker.machineId), this.rightsOf(held, false)));
  }

  private sweep(): void {
    const now = this.clock.now();
    this.misroutedWorkers.prune(now);
    for (const [machineId, at] of this.tokenAnnouncedAt)
      if (now - at > TOKEN_ANNOUNCE_AGAIN_MS) this.tokenAnnouncedAt.delete(machineId);
    this.releaseExpiredLeases();
    this.stragglers.evictFromSlowMachines(this.workers.values(), (machineId) => this.roleOf(machineId));
    this.forgetSilent(now);
  }

  private releaseExpiredLeases(): void {
    for (const machineId of [...this.clusterState.usedMachines()]) {
      const role = this.roleOf(machineId);
      const held = this.leadership.leadershipOf(role);
      if (held === undefined || !this.isLeaseExpired(machineId, held)) continue;
      for (const placedTask of [...this.clusterState.tasksOn(machineId)]) {
        this.recordExit(machineId, role, {
          placedTask,
          proof: expiryProof(placedTask),
          ending: 'lost',
          task: undefined,
        });
      }
    }
  }

  private forgetSilent(now: number): void {
    const silentMs = FORGET_WORKER_LEASES * this.settings.cluster.workers.workerLeaseMs;
    for (const { machineId, lastContactAt } of [...this.workers.values()]) {
      if (now - lastContactAt > silentMs && this.clusterState.taskCountOn(machineId) === 0)
        this.workers.forget(machineId);
    }
  }

  private isLeaseExpired(machineId: string, held: HeldLeadership): boolean {
    return this.leadership.isInTouchWithStore && this.clock.now() > this.workers.leaseOverAt(machineId, held);
  }

  /**
   * The proof that a place is free, by what is known at this very moment. A decision waits for its turn at the store, and what
   * proved it may not hold any more by then.
   */
  private currentProof(machineId: string, role: string, placedTask: PlacedTask): Proof | undefined {
    const held = this.leadership.leadershipOf(role);
    if (held === undefined) return undefined;
    const worker = this.workers.get(machineId);
    const shown =
      worker === undefined ? undefined : findProof(worker, this.desiredTaskOf(placedTask), held.fencingToken);
    if (shown !== undefined) return shown.proof;
    return this.isLeaseExpired(machineId, held) ? expiryProof(placedTask) : undefined;
  }

  /** Pushes the fence to workers that have not been heard since the takeover, so that old commands are refused. */
  async announceToken(machineId: string, endpoint: string, agentEpoch: number): Promise<void> {
    const held = this.leadership.confirmedLeadershipOf(this.roleOf(machineId));
    if (held === undefined || this.workers.has(machineId)) return;
    // The next look comes soon, and most workers report before their turn.
    // Those that don't answer must not keep the others from theirs.
    const now = this.clock.now();
    const most = Math.max(MAX_TOKEN_ANNOUNCEMENTS, this.clusterState.usedMachineCount * TOKEN_ANNOUNCEMENTS_SHARE);
    if (
      this.announcementsInFlight >= most ||
      now - (this.tokenAnnouncedAt.get(machineId) ?? -Infinity) < TOKEN_ANNOUNCE_AGAIN_MS
    )
      return;
    this.tokenAnnouncedAt.set(machineId, now);
    this.announcementsInFlight++;
    const result = await sendCommands(this.http, endpoint, held.fencingToken, agentEpoch, []);
    this.announcementsInFlight--;
    const isSame = this.leadership.leadershipOf(this.roleOf(machineId))?.term === held.term;
    if (!isSame || !('workerStatus' in result) || result.workerStatus?.machineId !== machineId) return;
    const worker = this.workers.get(machineId) ?? new Worker(machineId);
    if (!worker.applyStatus(result.workerStatus, this.clock.now(), false)) return;
    this.workers.add(worker);
    this.pushCommands(machineId);
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(SWEEP_MS, signal);
      this.sweep();
    }
  }
}

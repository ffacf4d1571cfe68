/** One controller: builds its parts, connects them, and starts and stops their loops. It holds no rules and decides nothing. */
import { randomInt } from 'node:crypto';

import { ApiServer } from '../api/api-server.js';
import type { JobService } from '../api/job-service.js';
import type { ClusterLeader } from '../autoscaling/cluster-leader.js';
import type { Tuning } from '../config/tuning.js';
import { HTTP_SERVER_SOCKET_SHARE } from '../constants/api.js';
import type { Settings } from '../domain/settings.js';
import type { Gossip, Message } from '../gossip/messages.js';
import { PeerLinks } from '../gossip/peer-links.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { Handover } from '../leadership/handover.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import { RoleRebalancer } from '../leadership/role-rebalancer.js';
import type { Standby } from '../leadership/standby.js';
import { Invariants } from '../logging/invariants.js';
import type { Log } from '../logging/log.js';
import { RefusalLog } from '../logging/refusal-log.js';
import { parseAddress } from '../net/address.js';
import type { Clock } from '../net/clock.js';
import type { HttpClient } from '../net/http-client.js';
import type { JsonResponse } from '../net/json-response.js';
import { Random } from '../net/random.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { Happiness } from '../scheduling/decisions/happiness.js';
import type { PlacementPlanner } from '../scheduling/placement-planner.js';
import type { Replica } from '../store/replica.js';
import type { WorkerManager } from '../workers/worker-manager.js';
import { runBackgroundLoops } from './background-loops.js';
import type { Environment } from './environment.js';
import { createGossipParts, type GossipParts } from './gossip-parts.js';
import { createJobParts, type JobParts } from './job-parts.js';
import { createLeadershipParts, type LeadershipParts } from './leadership-parts.js';
import { NodeStatus } from './node-status.js';
import { PeerMessageRouter } from './peer-message-router.js';
import { createRecordParts, type RecordParts } from './record-parts.js';
import { createSchedulingParts, type SchedulingParts } from './scheduling-parts.js';
import { createHandover, createStandby } from './standby-parts.js';
import { createWorkerParts, type WorkerParts } from './worker-parts.js';

/** Exclusive bounds; the second leaves room to count up from an incarnation within the integers that a double holds exactly. */
const SEED_BOUND = 2 ** 31 - 1;
const INCARNATION_BOUND = 2 ** 47;

/** The settings of a controller, and interfaces to the outside world. */
export interface ControllerOptions {
  settings: Settings;
  tuning: Tuning;
  http: HttpClient;
  clock: Clock;
  log: Log;
  /** Seed of the controller's random draws; chosen at random by default. */
  seed?: number;
}

/** One controller process: its parts, its request handlers and its background loops. */
export class Controller {
  /** Sends a message to another controller. Set by `run`, or by a test that connects controllers itself. */
  send: (node: string, message: Message) => boolean = () => false;
  private readonly environment: Environment;
  private readonly recordParts: RecordParts;
  private readonly leadershipParts: LeadershipParts;
  private readonly workerParts: WorkerParts;
  private readonly schedulingParts: SchedulingParts;
  private readonly gossipParts: GossipParts;
  private readonly jobParts: JobParts;
  private readonly standby: Standby | undefined;
  private readonly handover: Handover;
  private readonly roleRebalancer: RoleRebalancer;
  private readonly messageRouter: PeerMessageRouter;
  private readonly nodeStatus: NodeStatus;
  private apiServer: ApiServer | undefined;

  constructor({ settings, tuning, http, clock, log, seed = randomInt(SEED_BOUND) }: ControllerOptions) {
    this.environment = {
      ...{ settings, tuning, http, clock, log },
      refusals: new RefusalLog(() => clock.now(), log),
      invariants: new Invariants(log),
      random: new Random(seed),
      incarnation: randomInt(INCARNATION_BOUND),
      send: (node, message) => this.send(node, message),
    };
    this.recordParts = this.buildRecordParts();
    this.leadershipParts = createLeadershipParts(this.environment, this.recordParts);
    this.workerParts = createWorkerParts(this.environment, this.recordParts, this.leadership, {
      planner: () => this.planner,
      workerAnswered: (role) => this.standby?.workerAnswered(role),
      onMisrouted: () => this.gossipParts.sender.sendSoon(),
    });
    this.schedulingParts = createSchedulingParts(this.environment, this.recordParts, this.leadership, this.workerParts);
    this.standby = createStandby(this.environment, {
      ...this.recordParts,
      leadership: this.leadership,
      happiness: this.happiness,
      leader: this.leader,
    });
    this.jobParts = this.buildJobParts();
    this.gossipParts = createGossipParts(this.environment, this.recordParts, this.leadershipParts, this.workerParts);
    this.handover = createHandover(this.environment, this.leadership, this.workerParts, this.gossipParts);
    this.roleRebalancer = new RoleRebalancer({
      ...{ settings, clock },
      leadership: this.leadership,
      peerDirectory: this.recordParts.peerDirectory,
      workers: this.workerManager.workers,
    });
    this.messageRouter = new PeerMessageRouter({
      ...this.recordParts,
      ...this.workerParts,
      exchange: this.gossipParts.exchange,
      standby: this.standby,
      send: this.environment.send,
    });
    this.nodeStatus = new NodeStatus({
      ...this.environment,
      ...this.recordParts,
      leadership: this.leadership,
      planner: this.planner,
      commandLog: this.workerManager.commandLog,
      apiServer: () => this.apiServer?.takeStatus(),
    });
  }

  private buildRecordParts(): RecordParts {
    const { log } = this.environment;
    const listener = {
      jobChanged: (jobId: string, taskIndexes?: readonly number[]) =>
        this.jobParts.changeHandler.jobChanged(jobId, taskIndexes),
      urgencyChanged: (jobId: string) => this.planner.priorityChanged(jobId),
      leadershipChanged: () => this.leadershipChanged(),
      recordUnreadable: (key: string, error: unknown) => log.error({ key, error: String(error) }, 'record unreadable'),
    };
    return createRecordParts(this.environment, listener, () => this.leadershipParts.formatUpgrade.isComplete);
  }

  private buildJobParts(): JobParts {
    const { limits } = this.recordParts;
    return createJobParts({
      ...this.environment,
      ...this.recordParts,
      leadership: this.leadership,
      workerManager: this.workerManager,
      planner: this.planner,
      inventory: this.inventory,
      maxTransactionWrites: limits.writes,
      reportPeriodMs: this.environment.settings.cluster.workers.heartbeatIntervalMs,
    });
  }

  get replica(): Replica {
    return this.recordParts.replica;
  }

  get clusterState(): ClusterState {
    return this.recordParts.clusterState;
  }

  get leadership(): RoleLeadership {
    return this.leadershipParts.leadership;
  }

  get workerManager(): WorkerManager {
    return this.workerParts.workerManager;
  }

  get inventory(): MachineInventory {
    return this.workerParts.inventory;
  }

  get happiness(): Happiness {
    return this.workerParts.happiness;
  }

  get planner(): PlacementPlanner {
    return this.schedulingParts.planner;
  }

  get leader(): ClusterLeader {
    return this.schedulingParts.leader;
  }

  get jobs(): JobService {
    return this.jobParts.jobs;
  }

  /** Serves users, workers and the other controllers until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { settings, log, refusals } = this.environment;
    const maxSockets = Math.floor(settings.cluster.sockets * HTTP_SERVER_SOCKET_SHARE);
    const server = new ApiServer(this.createHandlers(), log, refusals, maxSockets);
    this.apiServer = server;
    const { host, port } = parseAddress(settings.apiAddress);
    await server.listen(host, port, signal);
    log.info({ address: settings.apiAddress, maxSockets }, 'listening');
    const links = this.createLinks();
    this.send = (node, message) => links.send(node, message);
    await Promise.all([links.run(signal), this.runBackgroundLoops(signal)]);
  }

  private createHandlers(): ConstructorParameters<typeof ApiServer>[0] {
    return {
      submit: (body) => this.jobs.submit(body),
      poll: (jobId) => this.jobs.poll(jobId),
      cancel: (jobId) => this.jobs.cancel(jobId),
      answerHeartbeat: (body) => this.answerHeartbeat(body),
      answerHealthCheck: () => this.answerHealthCheck(),
    };
  }

  private createLinks(): PeerLinks {
    const { settings, clock, log } = this.environment;
    return new PeerLinks({
      ...{ settings, clock, log },
      compose: (node) => this.composeGossip(node),
      receive: (message) => this.receive(message),
      onConnected: (node) => this.gossipParts.sentUpdates.requireSnapshot(node),
    });
  }

  /** Runs the background loops, without opening sockets. */
  async runBackgroundLoops(signal: AbortSignal): Promise<void> {
    await runBackgroundLoops(
      {
        ...this.environment,
        ...this.recordParts,
        ...this.leadershipParts,
        ...this.workerParts,
        ...this.schedulingParts,
        ...this.jobParts,
        nodeStatus: this.nodeStatus,
        standby: this.standby,
        roleRebalancer: this.roleRebalancer,
      },
      signal,
    );
  }

  /** Hands all roles over to other controllers if the warm standby is enabled; otherwise they expire with the store lease. */
  async handOver(): Promise<void> {
    if (this.standby !== undefined) await this.handover.run();
  }

  /** The response to a health check of the load balancer. */
  answerHealthCheck(): JsonResponse {
    const { health } = this.leadershipParts;
    const reason = this.handover.isUnderway ? 'handing_over' : health.refusalReason;
    if (reason !== undefined) this.environment.refusals.record({ kind: 'health check', reason });
    const isServing = reason === undefined;
    return { status: isServing ? 200 : 503, body: { up: isServing } };
  }

  /** Answers a worker's heartbeat. */
  answerHeartbeat(body: unknown): JsonResponse | Promise<JsonResponse> {
    return this.workerParts.heartbeats.answer(body);
  }

  /** Composes the gossip message for one peer. */
  composeGossip(to: string): Gossip {
    return this.gossipParts.exchange.compose(to);
  }

  /** Processes a message from another controller. */
  receive(message: Message): void {
    this.messageRouter.receive(message);
  }

  private leadershipChanged(): void {
    this.standby?.leadershipChanged();
    this.planner.planSoon();
    void this.leadership.acquireVacantRoles();
  }
}

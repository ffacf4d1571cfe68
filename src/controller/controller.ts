/** One controller: builds its parts, joins them, and starts and stops their routines. No rule and no decision is taken here. */
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
import type { Log } from '../logging/log.js';
import { parseAddress } from '../net/address.js';
import type { Clock } from '../net/clock.js';
import type { HttpAnswer } from '../net/http-answer.js';
import type { HttpClient } from '../net/http-client.js';
import { Random } from '../net/random.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { Happiness } from '../scheduling/decisions/happiness.js';
import type { PlacementPlanner } from '../scheduling/placement-planner.js';
import type { Replica } from '../store/replica.js';
import type { WorkerManager } from '../workers/worker-manager.js';
import { runDuties } from './duties.js';
import type { Environment } from './environment.js';
import { createGossipParts, type GossipParts } from './gossip-parts.js';
import { createJobDuties, type JobDuties } from './job-duties.js';
import { createLeadershipParts, type LeadershipParts } from './leadership-parts.js';
import { PeerMessageRouter } from './peer-message-router.js';
import { createRecordParts, type RecordParts } from './record-parts.js';
import { createSchedulingParts, type SchedulingParts } from './scheduling-parts.js';
import { createHandover, createStandby } from './standby-parts.js';
import { createWorkerParts, type WorkerParts } from './worker-parts.js';

/** Seeds and incarnations are drawn below these bounds; the second is what a double holds exactly, with room to count on. */
const SEED_BOUND = 2 ** 31 - 1;
const INCARNATION_BOUND = 2 ** 47;

/** What a controller is given: settings and the outside world. */
export interface ControllerOptions {
  settings: Settings;
  tuning: Tuning;
  http: HttpClient;
  clock: Clock;
  log: Log;
  /** Of all random draws; by chance if left out. */
  seed?: number;
}

/** One controller process: its parts, the answers it gives and its duties. */
export class Controller {
  /** Sends a message to another controller. Set by whoever links the controllers: `run`, or a test. */
  send: (node: string, message: Message) => boolean = () => false;
  private readonly environment: Environment;
  private readonly records: RecordParts;
  private readonly leadershipParts: LeadershipParts;
  private readonly workers: WorkerParts;
  private readonly scheduling: SchedulingParts;
  private readonly gossip: GossipParts;
  private readonly jobDuties: JobDuties;
  private readonly standby: Standby | undefined;
  private readonly handover: Handover;
  private readonly roleRebalancer: RoleRebalancer;
  private readonly messages: PeerMessageRouter;

  constructor({ settings, tuning, http, clock, log, seed = randomInt(SEED_BOUND) }: ControllerOptions) {
    this.environment = {
      ...{ settings, tuning, http, clock, log },
      random: new Random(seed),
      incarnation: randomInt(INCARNATION_BOUND),
      send: (node, message) => this.send(node, message),
    };
    this.records = this.createRecords();
    this.leadershipParts = createLeadershipParts(this.environment, this.records);
    this.workers = createWorkerParts(this.environment, this.records, this.leadership, {
      planner: () => this.planner,
      workerAnswered: (role) => this.standby?.workerAnswered(role),
      onMisrouted: () => this.gossip.sender.sendSoon(),
    });
    this.scheduling = createSchedulingParts(this.environment, this.records, this.leadership, this.workers);
    this.standby = createStandby(this.environment, {
      ...this.records,
      leadership: this.leadership,
      happiness: this.happiness,
      leader: this.leader,
    });
    this.jobDuties = this.createJobs();
    this.gossip = createGossipParts(this.environment, this.records, this.leadershipParts, this.workers);
    this.handover = createHandover(this.environment, this.leadership, this.workers, this.gossip);
    this.roleRebalancer = new RoleRebalancer({
      ...{ settings, clock },
      leadership: this.leadership,
      peerDirectory: this.records.peerDirectory,
      workers: this.workerManager.workers,
    });
    this.messages = new PeerMessageRouter({
      ...this.records,
      ...this.workers,
      exchange: this.gossip.exchange,
      standby: this.standby,
      send: this.environment.send,
    });
  }

  private createRecords(): RecordParts {
    const { log } = this.environment;
    const listener = {
      jobChanged: (jobId: string, taskIndexes?: readonly number[]) =>
        this.jobDuties.reactions.jobChanged(jobId, taskIndexes),
      urgencyChanged: (jobId: string) => this.planner.priorityChanged(jobId),
      leadershipChanged: () => this.leadershipChanged(),
      recordUnreadable: (key: string, error: unknown) => log.error({ key, error: String(error) }, 'record unreadable'),
    };
    return createRecordParts(this.environment, listener, () => this.leadershipParts.formatUpgrade.isComplete);
  }

  private createJobs(): JobDuties {
    const { limits } = this.records;
    return createJobDuties({
      ...this.environment,
      ...this.records,
      leadership: this.leadership,
      workerManager: this.workerManager,
      planner: this.planner,
      inventory: this.inventory,
      maxTransactionWrites: limits.writes,
      reportPeriodMs: this.environment.settings.cluster.workers.heartbeatIntervalMs,
    });
  }

  get replica(): Replica {
    return this.records.replica;
  }

  get clusterState(): ClusterState {
    return this.records.clusterState;
  }

  get leadership(): RoleLeadership {
    return this.leadershipParts.leadership;
  }

  get workerManager(): WorkerManager {
    return this.workers.workerManager;
  }

  get inventory(): MachineInventory {
    return this.workers.inventory;
  }

  get happiness(): Happiness {
    return this.workers.happiness;
  }

  get planner(): PlacementPlanner {
    return this.scheduling.planner;
  }

  get leader(): ClusterLeader {
    return this.scheduling.leader;
  }

  get jobs(): JobService {
    return this.jobDuties.jobs;
  }

  /** Listens for users, workers and the other controllers, and runs until the signal fires. */
  async run(signal: AbortSignal): Promise<void> {
    const { settings, log } = this.environment;
    const maxSockets = Math.floor(settings.cluster.sockets * HTTP_SERVER_SOCKET_SHARE);
    const server = new ApiServer(this.createHandlers(), log, maxSockets);
    const { host, port } = parseAddress(settings.apiAddress);
    await server.listen(host, port, signal);
    log.info({ address: settings.apiAddress }, 'listening');
    const links = this.createLinks();
    this.send = (node, message) => links.send(node, message);
    await Promise.all([links.run(signal), this.runDuties(signal)]);
  }

  private createHandlers(): ConstructorParameters<typeof ApiServer>[0] {
    return {
      submit: (body) => this.jobs.submit(body),
      poll: (jobId) => this.jobs.poll(jobId),
      cancel: (jobId) => this.jobs.cancel(jobId),
      answerHeartbeat: (body) => this.answerHeartbeat(body),
      up: () => this.up(),
    };
  }

  private createLinks(): PeerLinks {
    const { settings, clock, log } = this.environment;
    return new PeerLinks({
      ...{ settings, clock, log },
      compose: (node) => this.composeGossip(node),
      receive: (message) => this.receive(message),
      onConnected: (node) => this.gossip.sentUpdates.requireSnapshot(node),
    });
  }

  /** The long-lived routines, without the sockets. */
  async runDuties(signal: AbortSignal): Promise<void> {
    await runDuties(
      {
        ...this.environment,
        ...this.records,
        ...this.leadershipParts,
        ...this.workers,
        ...this.scheduling,
        ...this.jobDuties,
        standby: this.standby,
        roleRebalancer: this.roleRebalancer,
      },
      signal,
    );
  }

  /** Hands all roles to the other controllers, if the warm standby is on; else they expire with the store lease. */
  async handOver(): Promise<void> {
    if (this.standby !== undefined) await this.handover.run();
  }

  /** The answer to a health check of the load balancer. */
  up(): HttpAnswer {
    const isServing = !this.handover.isUnderway && this.leadershipParts.health.isServing;
    return { status: isServing ? 200 : 503, body: { up: isServing } };
  }

  /** Answers a worker's heartbeat. */
  answerHeartbeat(body: unknown): HttpAnswer | Promise<HttpAnswer> {
    return this.workers.heartbeats.answer(body);
  }

  /** What this node has to tell one peer. */
  composeGossip(to: string): Gossip {
    return this.gossip.exchange.compose(to);
  }

  /** Takes in a message of another controller. */
  receive(message: Message): void {
    this.messages.receive(message);
  }

  private leadershipChanged(): void {
    this.standby?.leadershipChanged();
    this.planner.planSoon();
    void this.leadership.acquireVacantRoles();
  }
}

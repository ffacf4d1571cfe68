import { randomInt } from 'node:crypto';
import { BATCH_GATHER_SHARE } from '../constants/store.js';
import { SWEEP_MS, TOKEN_ANNOUNCE_PERIOD_MS } from '../constants/workers.js';
import { HTTP_SERVER_SOCKET_SHARE } from '../constants/api.js';
import {
  FINISH_PERIOD_MS,
  FORMAT_CHECK_PERIOD_MS,
  DEPENDENCY_SWEEP_MS,
  TEAM_SETTLEMENT_PERIOD_MS,
} from '../constants/records.js';
import { maySend } from '@dewlatch/standby';
import type { HttpAnswer } from '../net/http-answer.js';
import type { JobService } from '../api/job-service.js';
import { ApiServer } from '../api/api-server.js';
import { CloudClient } from '../cloud/cloud-client.js';
import type { Settings } from '../domain/settings.js';
import type { Tuning } from '../config/tuning.js';
import { ClusterState } from '../records/cluster-state.js';
import { recordSizer } from '../records/record-sizer.js';
import { TeamAccounting } from '../records/team-accounting.js';
import { LIVE } from '../records/record-keys.js';
import type { Clock } from '../net/clock.js';
import type { HttpClient } from '../net/http-client.js';
import { Random } from '../net/random.js';
import { FormatUpgrade } from '../records/format-upgrade.js';
import { runPeriodically } from '../net/periodic.js';
import { PeerLinks, splitAddress } from '../gossip/peer-links.js';
import type { Gossip, Message } from '../gossip/messages.js';
import { ReplicaFreshness } from '../gossip/replica-freshness.js';
import { HeartbeatForwarder } from '../gossip/heartbeat-forwarder.js';
import { PeerDirectory } from '../gossip/peer-directory.js';
import { SentMachineUpdates } from '../gossip/machine-updates.js';
import { Happiness } from '../scheduling/decisions/happiness.js';
import { StoreClient } from '../store/store-client.js';
import { TransactionBatcher } from '../store/transaction-batcher.js';
import { transactionLimits } from '../store/transaction-draft.js';
import { Replica } from '../store/replica.js';
import { followCatalog } from '../inventory/catalog-follower.js';
import { RoleLeadership } from '../leadership/role-leadership.js';
import { MachineInventory } from '../inventory/machine-inventory.js';
import { GossipExchange } from '../gossip/gossip-exchange.js';
import { GossipSender } from '../gossip/gossip-sender.js';
import { Handover } from '../leadership/handover.js';
import { HealthChecks } from '../scheduling/health-checks.js';
import { createJobDuties, type JobDuties } from './job-duties.js';
import { ClusterLeader } from '../autoscaling/cluster-leader.js';
import { loadTracer } from '../leadership/load-tracer.js';
import type { Log } from '../logging/log.js';
import { Rescheduler } from '../scheduling/rescheduler.js';
import { WorkerManager } from '../workers/worker-manager.js';
import { PlacementPlanner } from '../scheduling/placement-planner.js';
import { RoleRebalancer } from '../leadership/role-rebalancer.js';
import { RecordBroadcast } from '../gossip/record-broadcast.js';
import { Standby } from '../leadership/standby.js';
import { HeartbeatService } from '../workers/heartbeat-service.js';
import { TeamSettlement } from '../scheduling/team-settlement.js';
import { CancellationEnforcer } from '../workers/cancellation-enforcer.js';
import { createWorkerManagerEvents } from './worker-manager-events.js';
import { watchPauseMs } from '../gossip/watch-pause.js';
import { NodeHealth } from './node-health.js';
import { PeerMessageRouter } from './peer-message-router.js';
import { TokenAnnouncer } from '../workers/token-announcer.js';

/** One controller: all parts of the service, joined. */
export class Controller {
  readonly replica: Replica;
  readonly clusterState: ClusterState;
  readonly leadership: RoleLeadership;
  readonly workerManager: WorkerManager;
  readonly inventory: MachineInventory;
  readonly planner: PlacementPlanner;
  readonly leader: ClusterLeader;
  readonly jobs: JobService;
  private readonly cancellationEnforcer: CancellationEnforcer;
  private readonly client: StoreClient;
  private readonly transactions: TransactionBatcher;
  private readonly peerDirectory: PeerDirectory;
  private readonly health: NodeHealth;
  private readonly replicaFreshness: ReplicaFreshness;
  private readonly rescheduler: Rescheduler;
  readonly happiness: Happiness;
  private readonly random: Random;
  private readonly standby: Standby | undefined;
  private readonly gossipSender: GossipSender;
  private readonly handover: Handover;
  private readonly heartbeatForwarder: HeartbeatForwarder;
  /** Set by whoever links the controllers: the mesh, or a test. */
  send: (node: string, message: Message) => boolean = () => false;
  private readonly sentUpdates: SentMachineUpdates;
  private readonly messages: PeerMessageRouter;
  private readonly exchange: GossipExchange;
  private readonly roleRebalancer: RoleRebalancer;
  private readonly broadcast: RecordBroadcast;
  private readonly reports: HeartbeatService;
  private readonly jobDuties: JobDuties;
  private readonly formatUpgrade: FormatUpgrade;
  private readonly teamSettlement: TeamSettlement;

  constructor(
    private readonly settings: Settings,
    tuning: Tuning,
    http: HttpClient,
    private readonly clock: Clock,
    private readonly log: Log,
    seed: number = randomInt(2 ** 31 - 1),
  ) {
    this.random = new Random(seed);
    const periodMs = settings.cluster.workers.heartbeatIntervalMs;
    const incarnation = randomInt(2 ** 47);
    this.sentUpdates = new SentMachineUpdates(incarnation);
    const limits = transactionLimits(settings.cluster.store);
    const peerNodes = settings.peers.map((peer) => peer.node);
    this.client = new StoreClient(
      http,
      settings.storeAddress,
      settings.cluster.store,
      settings.cluster.size,
      clock,
      this.random,
    );
    this.replica = new Replica(this.client, LIVE, clock, () => watchPauseMs(this.peerDirectory));
    this.clusterState = new ClusterState(this.replica, {
      jobChanged: (jobId, taskIndexes) => this.jobDuties.reactions.jobChanged(jobId, taskIndexes),
      urgencyChanged: (jobId) => this.planner.urgencyChanged(jobId),
      leadershipChanged: () => this.claimChanged(),
      recordUnreadable: (key, error) => log.error({ key, error: String(error) }, 'record can not be read'),
    });
    followCatalog(this.replica, () => this.inventory.catalog, log);
    this.transactions = new TransactionBatcher(
      this.client,
      this.replica,
      limits,
      LIVE,
      clock,
      this.random,
      periodMs * BATCH_GATHER_SHARE,
    );
    this.peerDirectory = new PeerDirectory(peerNodes, clock, () => this.replica.freshAt);
    this.replicaFreshness = new ReplicaFreshness(
      settings.node,
      peerNodes,
      incarnation,
      this.replica,
      clock,
      (node, message) => this.send(node, message),
    );
    this.broadcast = new RecordBroadcast({
      peers: peerNodes,
      replica: this.replica,
      transactions: this.transactions,
      clock,
      log,
      send: (node, message) => this.send(node, message),
    });
    this.transactions.announce = (changes) => this.broadcast.announce(changes);
    this.transactions.onRejected = (name, why) => log.error({ change: name, why }, 'the store does not take a change');
    const { valueBytes } = settings.cluster.store.lasting;
    this.transactions.resize = recordSizer(valueBytes, () => this.formatUpgrade.isComplete);
    this.leadership = new RoleLeadership({
      settings,
      client: this.client,
      replica: this.replica,
      clusterState: this.clusterState,
      transactions: this.transactions,
      peerDirectory: this.peerDirectory,
      replicaFreshness: this.replicaFreshness,
      clock,
      random: this.random,
      log,
    });
    this.health = new NodeHealth(this.replica, this.leadership, this.client, this.peerDirectory);
    this.heartbeatForwarder = new HeartbeatForwarder(settings.node, incarnation, clock, (node, message) =>
      this.send(node, message),
    );
    this.happiness = new Happiness(tuning.happinessWindowMs);
    const healthChecks = new HealthChecks({ clusterState: this.clusterState, happiness: this.happiness, clock });
    const accounting = new TeamAccounting({
      teams: settings.cluster.teams,
      placedUsageOf: (team, upTo) => this.clusterState.placedUsageOf(team, upTo),
      recordOf: (key) => this.replica.get(key),
      canDeferExits: () => this.formatUpgrade.isComplete,
    });
    this.workerManager = new WorkerManager({
      settings,
      leadership: this.leadership,
      replica: this.replica,
      clusterState: this.clusterState,
      transactions: this.transactions,
      accounting,
      http,
      clock,
      events: createWorkerManagerEvents({
        clusterState: this.clusterState,
        healthChecks,
        inventory: () => this.inventory,
        planner: () => this.planner,
        standby: () => this.standby,
      }),
      log,
    });
    this.inventory = new MachineInventory(settings, this.leadership, this.workerManager, clock);
    this.planner = new PlacementPlanner({
      settings,
      tuning,
      leadership: this.leadership,
      clusterState: this.clusterState,
      inventory: this.inventory,
      transactions: this.transactions,
      accounting,
      clock,
      random: this.random,
      log,
    });
    const cloud = new CloudClient({
      http,
      address: settings.cloudAddress,
      requestsPerSecond: settings.cluster.cloud.requestsPerSecond,
      clock,
      maySend: (call) => (this.standby === undefined ? true : maySend(call, () => this.leadership.isLeader)),
    });
    this.leader = new ClusterLeader({
      settings,
      leadership: this.leadership,
      clusterState: this.clusterState,
      inventory: this.inventory,
      planner: this.planner,
      transactions: this.transactions,
      accounting,
      cloud,
      peerDirectory: this.peerDirectory,
      clock,
      log,
    });
    if (tuning.standby.enabled) {
      this.standby = new Standby({
        settings,
        standby: tuning.standby,
        incarnation,
        leadership: this.leadership,
        peerDirectory: this.peerDirectory,
        clusterState: this.clusterState,
        replica: this.replica,
        transactions: this.transactions,
        happiness: this.happiness,
        leader: this.leader,
        clock,
        log,
        send: (node, message) => this.send(node, message),
        tracer: loadTracer(tuning.standby.trace_file, settings.node, clock, log),
      });
      this.leadership.succession = this.standby;
    }
    this.rescheduler = new Rescheduler(
      tuning,
      this.leadership,
      this.clusterState,
      this.inventory,
      this.planner,
      this.transactions,
      this.happiness,
      clock,
      this.random,
      log,
    );
    this.gossipSender = new GossipSender({
      peers: peerNodes,
      clock,
      compose: (node) => this.composeGossip(node),
      send: (node, message) => this.send(node, message),
    });
    this.reports = new HeartbeatService({
      node: settings.node,
      workerManager: this.workerManager,
      heartbeatForwarder: this.heartbeatForwarder,
      log,
      onMisrouted: () => this.gossipSender.sendSoon(),
    });
    this.jobDuties = createJobDuties({
      settings,
      client: this.client,
      leadership: this.leadership,
      clusterState: this.clusterState,
      replica: this.replica,
      transactions: this.transactions,
      workerManager: this.workerManager,
      planner: this.planner,
      inventory: this.inventory,
      limits,
      maxTransactionWrites: limits.ops,
      reportPeriodMs: periodMs,
      clock,
      log,
    });
    this.jobs = this.jobDuties.jobs;
    this.teamSettlement = new TeamSettlement({
      teams: settings.cluster.teams,
      leadership: this.leadership,
      replica: this.replica,
      transactions: this.transactions,
      accounting,
    });
    this.formatUpgrade = new FormatUpgrade({
      node: settings.node,
      nodes: [settings.node, ...peerNodes],
      clusterSize: settings.cluster.size,
      leadership: this.leadership,
      replica: this.replica,
      transactions: this.transactions,
      log,
    });
    this.roleRebalancer = new RoleRebalancer({
      settings,
      leadership: this.leadership,
      workers: this.workerManager.workers,
      peerDirectory: this.peerDirectory,
      clock,
    });
    this.exchange = new GossipExchange({
      settings,
      clock,
      log,
      replica: this.replica,
      peerDirectory: this.peerDirectory,
      replicaFreshness: this.replicaFreshness,
      leadership: this.leadership,
      misroutedWorkers: this.workerManager.misroutedWorkers,
      inventory: this.inventory,
      sentUpdates: this.sentUpdates,
      isWithoutStore: () => this.health.isWithoutStore,
      sendSoon: () => this.gossipSender.sendSoon(),
    });
    this.messages = new PeerMessageRouter({
      exchange: this.exchange,
      heartbeatForwarder: this.heartbeatForwarder,
      broadcast: this.broadcast,
      replicaFreshness: this.replicaFreshness,
      standby: this.standby,
      heartbeats: this.reports,
      send: (node, message) => this.send(node, message),
    });
    this.cancellationEnforcer = new CancellationEnforcer(
      this.leadership,
      this.clusterState,
      this.inventory,
      this.peerDirectory,
      http,
      clock,
      log,
    );
    this.handover = new Handover({
      limitMs: tuning.standby.handover_ms,
      leadership: this.leadership,
      workerManager: this.workerManager,
      gossip: this.gossipSender,
      clock,
      log,
    });
  }

  /** Runs until the signal fires. */
  async run(signal: AbortSignal): Promise<void> {
    const server = new ApiServer(
      {
        submit: (body) => this.jobs.submit(body),
        poll: (jobId) => this.jobs.poll(jobId),
        cancel: (jobId) => this.jobs.cancel(jobId),
        answerHeartbeat: (body) => this.answerHeartbeat(body),
        up: () => this.up(),
      },
      this.log,
      Math.floor(this.settings.cluster.sockets * HTTP_SERVER_SOCKET_SHARE),
    );
    const [machineId, port] = splitAddress(this.settings.apiAddress);
    await server.listen(machineId, port, signal);
    this.log.info({ bind: this.settings.apiAddress }, 'listening');
    const peerLinks = new PeerLinks(
      this.settings,
      this.clock,
      this.log,
      (node) => this.composeGossip(node),
      (message) => this.receive(message),
      (node) => this.sentUpdates.renew(node),
    );
    this.send = (node, message) => peerLinks.send(node, message);
    await Promise.all([peerLinks.run(signal), this.runDuties(signal)]);
  }

  /** The long-lived duties, without the sockets. */
  async runDuties(signal: AbortSignal): Promise<void> {
    const { clock, log, leadership, clusterState, workerManager, leader } = this;
    const periodic = { clock, log, signal };
    const announcer = new TokenAnnouncer({ leadership, clusterState, workerManager, endpoints: leader });
    await Promise.all([
      this.replica.run(signal),
      this.leadership.run(signal),
      this.workerManager.run(signal),
      this.planner.run(signal),
      this.leader.run(signal),
      this.standby?.run(signal),
      this.rescheduler.run(signal),
      runPeriodically(FINISH_PERIOD_MS, periodic, () => this.cleanUp()),
      runPeriodically(SWEEP_MS, periodic, () => this.roleRebalancer.rebalance()),
      runPeriodically(SWEEP_MS, periodic, () => this.cancellationEnforcer.sweep()),
      runPeriodically(TOKEN_ANNOUNCE_PERIOD_MS, periodic, () => announcer.announce()),
      runPeriodically(DEPENDENCY_SWEEP_MS, periodic, () => this.jobDuties.dependencyProgress.sweep()),
      runPeriodically(TEAM_SETTLEMENT_PERIOD_MS, periodic, () => this.teamSettlement.settleQuietTeams()),
      runPeriodically(FORMAT_CHECK_PERIOD_MS, periodic, () => this.formatUpgrade.check()),
    ]);
  }

  /** Hands all roles to the other controllers, if the warm standby is on; else they expire with the hold. */
  async handOver(): Promise<void> {
    if (this.standby !== undefined) await this.handover.run();
  }

  /** The answer to a health check of the load balancer. */
  up(): HttpAnswer {
    const isServing = !this.handover.isUnderway && this.health.isServing;
    return { status: isServing ? 200 : 503, body: { up: isServing } };
  }

  /** Answers a worker's report. */
  answerHeartbeat(body: unknown): HttpAnswer | Promise<HttpAnswer> {
    return this.reports.answer(body);
  }

  /** What this node has to tell one peer. */
  composeGossip(to: string): Gossip {
    return this.exchange.compose(to);
  }

  /** What another controller says. */
  receive(message: Message): void {
    this.messages.receive(message);
  }

  private claimChanged(): void {
    this.standby?.leadershipChanged();
    this.planner.planSoon();
    void this.leadership.acquireVacantRoles();
  }

  /** Ends jobs that are over, and forgets what nobody speaks of any more. */
  private cleanUp(): void {
    if (!this.leadership.isInTouchWithStore) return;
    this.jobDuties.completion.completeAll();
    this.happiness.prune(this.clock.now());
    this.inventory.prune();
  }
}

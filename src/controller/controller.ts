import { randomInt } from 'node:crypto';
import {
  BATCH_GATHER_SHARE,
  TOKEN_ANNOUNCE_PERIOD_MS,
  HTTP_SERVER_SOCKET_SHARE,
  SWEEP_MS,
  FORMAT_LOOK_MS,
  PIPELINE_SWEEP_MS,
  TEAM_SETTLE_MS,
  FINISH_PERIOD_MS,
  WATCH_HEARD_PAUSE_MS,
  WATCH_PAUSE_MS,
} from '../constants.js';
import { maySend } from '@dewlatch/standby';
import type { Answer, Jobs } from '../api/jobs.js';
import { ApiServer } from '../api/server.js';
import { CloudClient } from '../cloud/client.js';
import type { Settings, Tuning } from '../config/settings.js';
import { lastingLimits } from '../config/state-limits.js';
import { Book } from '../ledger/book.js';
import { recordSizer } from '../ledger/record-sizes.js';
import { TeamAccounting } from '../ledger/team-accounting.js';
import { LIVE } from '../ledger/records.js';
import { Mesh, splitAddress } from '../mesh/mesh.js';
import type { Gossip, Message, Relay } from '../mesh/messages.js';
import { Coverage } from '../mesh/coverage.js';
import { Relays } from '../mesh/relays.js';
import { Peers } from '../mesh/peers.js';
import { SentMachineUpdates } from '../mesh/machine-updates.js';
import type { Clock } from '../net/clock.js';
import type { HttpClient } from '../net/http-client.js';
import { Random } from '../net/random.js';
import { Happiness } from '../placement/happiness.js';
import { StateClient } from '../state/client.js';
import { Committer } from '../state/committer.js';
import { txnLimits } from '../state/draft.js';
import { Replica } from '../state/replica.js';
import { followCatalog } from './catalog-records.js';
import { Claims } from './claims.js';
import { Fleet } from './fleet.js';
import { FormatUpgrade } from './format-upgrade.js';
import { GossipExchange } from './gossip-exchange.js';
import { GossipSender } from './gossip-sender.js';
import { Handover } from './handover.js';
import { HealthChecks } from './health-checks.js';
import { createJobDuties, type JobDuties } from './job-duties.js';
import { Leader } from './leader.js';
import { loadTracer } from './load-tracer.js';
import type { Log } from './log.js';
import { Rescheduler } from './rescheduler.js';
import { Owner } from './owner.js';
import { every } from './periodic.js';
import { Planner } from './planner.js';
import { Rebalancer } from './rebalancer.js';
import { RecordBroadcast } from './record-broadcast.js';
import { Standby } from './standby.js';
import { ReportService } from './report-service.js';
import { TeamSettlement } from './team-settlement.js';
import { WithdrawalEnforcer } from './withdrawal-enforcer.js';
import { TokenAnnouncer } from './token-announcer.js';

/** One controller: all parts of the service, joined. */
export class Controller {
  readonly replica: Replica;
  readonly book: Book;
  readonly claims: Claims;
  readonly owner: Owner;
  readonly fleet: Fleet;
  readonly planner: Planner;
  readonly leader: Leader;
  readonly jobs: Jobs;
  private readonly withdrawalEnforcer: WithdrawalEnforcer;
  private readonly client: StateClient;
  private readonly committer: Committer;
  private readonly peers: Peers;
  private readonly coverage: Coverage;
  private readonly rescheduler: Rescheduler;
  readonly happiness: Happiness;
  private readonly random: Random;
  private readonly standby: Standby | undefined;
  private readonly gossipSender: GossipSender;
  private readonly handover: Handover;
  private readonly relays: Relays;
  /** Set by whoever links the controllers: the mesh, or a test. */
  send: (node: string, message: Message) => boolean = () => false;
  /** ms between two reports of a worker. */
  private readonly periodMs: number;
  private readonly sentUpdates: SentMachineUpdates;
  private readonly exchange: GossipExchange;
  private readonly rebalancer: Rebalancer;
  private readonly broadcast: RecordBroadcast;
  private readonly reports: ReportService;
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
    this.periodMs = settings.cluster.workers.report_s * 1000;
    const life = randomInt(2 ** 47);
    this.sentUpdates = new SentMachineUpdates(life);
    const limits = txnLimits(settings.cluster.state);
    const peerNodes = settings.peers.map((peer) => peer.node);
    this.client = new StateClient(
      http,
      settings.outside.state,
      settings.cluster.state,
      settings.cluster.size,
      clock,
      this.random,
    );
    this.replica = new Replica(this.client, LIVE, clock, () => this.watchPauseMs());
    this.book = new Book(this.replica, {
      job: (ref, shards) => this.jobDuties.reactions.jobChanged(ref, shards),
      urgency: (ref) => this.planner.urgencyChanged(ref),
      claim: () => this.claimChanged(),
      corrupt: (key, error) => log.error({ key, error: String(error) }, 'record can not be read'),
    });
    followCatalog(this.replica, () => this.fleet.catalog, log);
    this.committer = new Committer(
      this.client,
      this.replica,
      limits,
      LIVE,
      clock,
      this.random,
      this.periodMs * BATCH_GATHER_SHARE,
    );
    this.peers = new Peers(peerNodes, clock, () => this.replica.freshAt);
    this.coverage = new Coverage(settings.node, peerNodes, life, this.replica, clock, (node, message) =>
      this.send(node, message),
    );
    this.broadcast = new RecordBroadcast({
      peers: peerNodes,
      replica: this.replica,
      committer: this.committer,
      clock,
      log,
      send: (node, message) => this.send(node, message),
    });
    this.committer.announce = (changes) => this.broadcast.announce(changes);
    this.committer.onRejected = (name, why) => log.error({ change: name, why }, 'the store does not take a change');
    const { valueBytes } = lastingLimits(settings.cluster.state);
    this.committer.resize = recordSizer(valueBytes, () => this.formatUpgrade.isComplete);
    this.claims = new Claims({
      settings,
      client: this.client,
      replica: this.replica,
      book: this.book,
      committer: this.committer,
      peers: this.peers,
      coverage: this.coverage,
      clock,
      random: this.random,
      log,
    });
    this.relays = new Relays(settings.node, life, clock, (node, message) => this.send(node, message));
    this.happiness = new Happiness(tuning.window_s * 1000);
    const health = new HealthChecks({ book: this.book, happiness: this.happiness, clock });
    const accounting = new TeamAccounting({
      teams: settings.cluster.teams,
      placedUse: (team, upTo) => this.book.placedUse(team, upTo),
      recordOf: (key) => this.replica.get(key),
      mayDefer: () => this.formatUpgrade.isComplete,
    });
    this.owner = new Owner({
      settings,
      claims: this.claims,
      replica: this.replica,
      book: this.book,
      committer: this.committer,
      accounting,
      http,
      clock,
      events: {
        isGone: (host) => this.fleet.gone.has(host),
        isLate: (report) => this.fleet.isLate(report),
        knownImages: (host) => this.fleet.known(host)?.images ?? [],
        cacheGb: (flavor) => this.fleet.catalog.get(flavor)?.localGb ?? Infinity,
        answered: (role) => this.standby?.answered(role),
        checked: (report) => health.reported(report),
        completed: (place, ranS) => {
          const spec = this.book.jobs.get(place.ref)?.record.spec;
          if (spec !== undefined) this.planner.learn(spec, ranS);
        },
        died: (place) => health.died(place),
      },
      log,
    });
    this.fleet = new Fleet(settings, this.claims, this.owner, clock);
    this.planner = new Planner({
      settings,
      tuning,
      claims: this.claims,
      book: this.book,
      fleet: this.fleet,
      committer: this.committer,
      accounting,
      clock,
      random: this.random,
      log,
    });
    const cloud = new CloudClient(http, settings.outside.cloud, settings.cluster.cloud.rps, clock, (call) =>
      this.standby === undefined ? true : maySend(call, () => this.claims.isLeader),
    );
    this.leader = new Leader({
      settings,
      claims: this.claims,
      book: this.book,
      fleet: this.fleet,
      planner: this.planner,
      committer: this.committer,
      accounting,
      cloud,
      peers: this.peers,
      clock,
      log,
    });
    if (tuning.standby.enabled) {
      this.standby = new Standby({
        settings,
        standby: tuning.standby,
        life,
        claims: this.claims,
        peers: this.peers,
        book: this.book,
        replica: this.replica,
        committer: this.committer,
        happiness: this.happiness,
        leader: this.leader,
        clock,
        log,
        send: (node, message) => this.send(node, message),
        tracer: loadTracer(tuning.standby.trace_file, settings.node, clock, log),
      });
      this.claims.succession = this.standby;
    }
    this.rescheduler = new Rescheduler(
      tuning,
      this.claims,
      this.book,
      this.fleet,
      this.planner,
      this.committer,
      this.happiness,
      clock,
      this.random,
      log,
    );
    this.gossipSender = new GossipSender({
      peers: peerNodes,
      clock,
      compose: (node) => this.gossip(node),
      send: (node, message) => this.send(node, message),
    });
    this.reports = new ReportService({
      node: settings.node,
      owner: this.owner,
      relays: this.relays,
      log,
      onMisdirected: () => this.gossipSender.soon(),
    });
    this.jobDuties = createJobDuties({
      settings,
      client: this.client,
      claims: this.claims,
      book: this.book,
      replica: this.replica,
      committer: this.committer,
      owner: this.owner,
      planner: this.planner,
      fleet: this.fleet,
      limits,
      maxTransactionWrites: limits.ops,
      reportPeriodMs: this.periodMs,
      clock,
      log,
    });
    this.jobs = this.jobDuties.jobs;
    this.teamSettlement = new TeamSettlement({
      teams: settings.cluster.teams,
      claims: this.claims,
      replica: this.replica,
      committer: this.committer,
      accounting,
    });
    this.formatUpgrade = new FormatUpgrade({
      node: settings.node,
      nodes: [settings.node, ...peerNodes],
      clusterSize: settings.cluster.size,
      claims: this.claims,
      replica: this.replica,
      committer: this.committer,
      log,
    });
    this.rebalancer = new Rebalancer({
      settings,
      claims: this.claims,
      owner: this.owner,
      peers: this.peers,
      clock,
    });
    this.exchange = new GossipExchange({
      settings,
      clock,
      log,
      replica: this.replica,
      peers: this.peers,
      coverage: this.coverage,
      claims: this.claims,
      owner: this.owner,
      fleet: this.fleet,
      sentUpdates: this.sentUpdates,
      isWithoutStore: () => this.withoutStore,
      sendSoon: () => this.gossipSender.soon(),
    });
    this.withdrawalEnforcer = new WithdrawalEnforcer(this.claims, this.book, this.fleet, this.peers, http, clock, log);
    this.handover = new Handover({
      limitMs: tuning.standby.handover_ms,
      claims: this.claims,
      owner: this.owner,
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
        poll: (ref) => this.jobs.poll(ref),
        withdraw: (ref) => this.jobs.withdraw(ref),
        hello: (body) => this.hello(body),
        up: () => this.up(),
      },
      this.log,
      Math.floor(this.settings.cluster.limits.sockets * HTTP_SERVER_SOCKET_SHARE),
    );
    const [host, port] = splitAddress(this.settings.bind);
    await server.listen(host, port, signal);
    this.log.info({ bind: this.settings.bind }, 'listening');
    const mesh = new Mesh(
      this.settings,
      this.clock,
      this.log,
      (node) => this.gossip(node),
      (message) => this.receive(message),
      (node) => this.sentUpdates.renew(node),
    );
    this.send = (node, message) => mesh.send(node, message);
    await Promise.all([mesh.run(signal), this.duties(signal)]);
  }

  /** The long-lived duties, without the sockets. */
  async duties(signal: AbortSignal): Promise<void> {
    const { clock, log, claims, book, owner, fleet, leader } = this;
    const periodic = { clock, log, signal };
    const announcer = new TokenAnnouncer({ claims, book, owner, fleet, leader });
    await Promise.all([
      this.replica.run(signal),
      this.claims.run(signal),
      this.owner.run(signal),
      this.planner.run(signal),
      this.leader.run(signal),
      this.standby?.run(signal),
      this.rescheduler.run(signal),
      every(FINISH_PERIOD_MS, periodic, () => this.cleanUp()),
      every(SWEEP_MS, periodic, () => this.rebalancer.rebalance()),
      every(SWEEP_MS, periodic, () => this.withdrawalEnforcer.sweep()),
      every(TOKEN_ANNOUNCE_PERIOD_MS, periodic, () => announcer.announce()),
      every(PIPELINE_SWEEP_MS, periodic, () => this.jobDuties.pipelineProgress.sweep()),
      every(TEAM_SETTLE_MS, periodic, () => this.teamSettlement.look()),
      every(FORMAT_LOOK_MS, periodic, () => this.formatUpgrade.look()),
    ]);
  }

  /** Hands all roles to the other controllers, if the warm standby is on; else they expire with the hold. */
  async handOver(): Promise<void> {
    if (this.standby !== undefined) await this.handover.run();
  }

  /** Healthy: requests are really served here, or nobody could serve them better. */
  up(): Answer {
    const serving =
      !this.handover.isUnderway &&
      this.replica.loaded &&
      (this.claims.inTouch || (this.withoutStore && this.peers.someWithoutStore()));
    return serving ? { status: 200, body: { up: true } } : { status: 503, body: { up: false } };
  }

  private get withoutStore(): boolean {
    return !this.claims.inTouch && this.client.lastRefusal > this.client.lastOk;
  }

  /** Answers a worker's report. */
  hello(body: unknown): Answer | Promise<Answer> {
    return this.reports.answer(body);
  }

  private watchPauseMs(): number {
    const { peers } = this.settings;
    return this.peers.heard().length < peers.length ? WATCH_PAUSE_MS : WATCH_HEARD_PAUSE_MS;
  }

  /** What this node has to tell one peer. */
  gossip(to: string): Gossip {
    return this.exchange.compose(to);
  }

  /** What another controller says. */
  receive(message: Message): void {
    if ('gossip' in message) this.exchange.receive(message.gossip);
    else if ('relayAnswer' in message) this.relays.take(message.relayAnswer);
    else if ('news' in message) this.broadcast.receive(message.news);
    else if ('ask' in message) this.coverage.answer(message.ask);
    else if ('delta' in message) this.coverage.take(message.delta);
    else if ('stream' in message) this.standby?.receive(message.stream);
    else this.answerRelayed(message.relay);
  }

  private answerRelayed(relay: Relay): void {
    const relayAnswer = this.reports.answerRelayed(relay);
    if (relayAnswer !== undefined) this.send(relay.node, { relayAnswer });
  }

  private claimChanged(): void {
    this.standby?.claimsChanged();
    this.planner.poke();
    void this.claims.settle();
  }

  /** Ends jobs that are over, and forgets what nobody speaks of any more. */
  private cleanUp(): void {
    if (!this.claims.inTouch) return;
    this.jobDuties.completion.completeAll();
    this.happiness.prune(this.clock.now());
    this.fleet.prune();
  }
}

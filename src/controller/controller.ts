import { randomInt } from 'node:crypto';
import {
  AVOID_MS,
  BATCH_GATHER_SHARE,
  BATCH_PUSH_GATHER_SHARE,
  GOSSIP_SOON_MS,
  GOSSIP_VIEW_MS,
  GREET_PERIOD_MS,
  HOLD_TTL_MS,
  SELF_SUSPECT_SHARE,
  HANDBACK_MS,
  SWEEP_MS,
  FINISH_PERIOD_MS,
  NEWS_GATHER_MS,
  WATCH_HEARD_PAUSE_MS,
  WATCH_PAUSE_MS,
} from '../constants.js';
import { Jobs, type Answer } from '../api/jobs.js';
import { ApiServer } from '../api/server.js';
import { CloudClient, decodeCatalog } from '../cloud/client.js';
import type { Settings, Tuning } from '../config/settings.js';
import { Book, type JobView } from '../ledger/book.js';
import { endJob } from '../ledger/edits.js';
import { chunkKey, jobKey, LIVE, parseShard, shardName } from '../ledger/records.js';
import { Mesh, splitAddress } from '../mesh/mesh.js';
import type { Gossip, MachineNews, Message, News } from '../mesh/messages.js';
import { Coverage } from '../mesh/coverage.js';
import { Relays } from '../mesh/relays.js';
import { Peers } from '../mesh/peers.js';
import { Heard, ownAt, Tellings, type Own } from '../mesh/tellings.js';
import type { Clock } from '../net/clock.js';
import type { HttpClient } from '../net/http-client.js';
import { Random } from '../net/random.js';
import { Priority } from '../net/token-bucket.js';
import { Happiness } from '../placement/happiness.js';
import { StateClient, type Change } from '../state/client.js';
import { Committer, txnLimits } from '../state/committer.js';
import { readChanges, Replica } from '../state/replica.js';
import { decodeReport, type Report } from '../workers/report.js';
import { silenceLimitMs } from '../workers/worker.js';
import { Claims, LEADER, partRole } from './claims.js';
import { Fleet, type MachineInfo } from './fleet.js';
import { Leader } from './leader.js';
import type { Log } from './log.js';
import { Mover } from './mover.js';
import { Owner } from './owner.js';
import { isLarge } from './placer.js';
import { Planner } from './planner.js';
import { Recaller } from './recaller.js';

const FLAVOR = `${LIVE}flavor/`;

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
  private readonly recaller: Recaller;
  private readonly client: StateClient;
  private readonly committer: Committer;
  private readonly peers: Peers;
  private readonly coverage: Coverage;
  private readonly mover: Mover;
  private readonly happiness: Happiness;
  private readonly random: Random;
  private readonly ending = new Set<string>();
  private gossiping = false;
  private readonly news: Change[] = [];
  private readonly relays: Relays;
  /** Set by whoever links the controllers: the mesh, or a test. */
  send: (node: string, message: Message) => boolean = () => false;
  private loadedAt: number | undefined;
  /** ms between two reports of a worker. */
  private readonly periodMs: number;
  private readonly tellings: Tellings;
  private readonly heard = new Heard();
  /** Peers that must tell all once more. */
  private readonly missed = new Set<string>();

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
    this.tellings = new Tellings(life);
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
      job: (ref, shards) => this.jobChanged(ref, shards),
      claim: () => this.claimChanged(),
      corrupt: (key, error) => log.error({ key, error: String(error) }, 'record can not be read'),
    });
    this.replica.onChange((key, now) => this.takeFlavor(key, now.value));
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
    this.committer.announce = (changes) => this.tell(changes);
    this.claims = new Claims(
      settings,
      this.client,
      this.replica,
      this.book,
      this.committer,
      this.peers,
      this.coverage,
      clock,
      this.random,
      log,
    );
    this.relays = new Relays(settings.node, clock, (node, message) => this.send(node, message));
    this.happiness = new Happiness(tuning.window_s * 1000);
    this.owner = new Owner(
      settings,
      this.claims,
      this.replica,
      this.book,
      this.committer,
      http,
      clock,
      {
        isGone: (host) => this.fleet.gone.has(host),
        isLate: (report) => this.fleet.isLate(report),
        knownImages: (host) => this.fleet.known(host)?.images ?? [],
        cacheGb: (flavor) => this.fleet.catalog.get(flavor)?.localGb ?? Infinity,
        checked: (report) => this.noteChecks(report),
        completed: (place, ranS) => {
          const spec = this.book.jobs.get(place.ref)?.record.spec;
          if (spec !== undefined) this.planner.learn(spec, ranS);
        },
        died: (place) => this.noteCheck(place.ref, place.shard, false),
      },
      log,
    );
    this.fleet = new Fleet(settings, this.claims, this.owner, clock);
    this.planner = new Planner(
      settings,
      tuning,
      this.claims,
      this.book,
      this.fleet,
      this.committer,
      clock,
      this.random,
      log,
    );
    const cloud = new CloudClient(http, settings.outside.cloud, settings.cluster.cloud.rps, clock);
    this.leader = new Leader(
      settings,
      this.claims,
      this.book,
      this.fleet,
      this.planner,
      this.committer,
      cloud,
      this.peers,
      clock,
      log,
    );
    this.mover = new Mover(
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
    this.recaller = new Recaller(this.claims, this.book, this.fleet, this.peers, http, clock, log);
    this.jobs = new Jobs(
      settings,
      this.client,
      this.replica,
      this.book,
      this.committer,
      limits,
      this.fleet,
      clock,
      log,
    );
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
      Math.floor(this.settings.cluster.limits.sockets * 0.6),
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
      (node) => this.tellings.renew(node),
    );
    this.send = (node, message) => mesh.send(node, message);
    await Promise.all([mesh.run(signal), this.duties(signal)]);
  }

  /** The long-lived duties, without the sockets. */
  async duties(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.replica.run(signal),
      this.claims.run(signal),
      this.owner.run(signal),
      this.planner.run(signal),
      this.leader.run(signal),
      this.mover.run(signal),
      this.every(FINISH_PERIOD_MS, signal, () => this.finishAll()),
      this.every(SWEEP_MS, signal, () => this.balance()),
      this.every(SWEEP_MS, signal, () => this.recaller.sweep()),
      this.every(GREET_PERIOD_MS, signal, () => this.greet()),
    ]);
  }

  private async every(ms: number, signal: AbortSignal, work: () => void): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(ms, signal);
      try {
        work();
      } catch (error) {
        this.log.error({ error: (error as Error).stack }, 'duty failed');
      }
    }
  }

  /** Healthy: requests are really served here, or nobody could serve them better. */
  up(): Answer {
    const serving =
      this.replica.loaded && (this.claims.inTouch || (this.withoutStore && this.peers.someWithoutStore()));
    return serving ? { status: 200, body: { up: true } } : { status: 503, body: { up: false } };
  }

  private get withoutStore(): boolean {
    return !this.claims.inTouch && this.client.lastRefusal > this.client.lastOk;
  }

  hello(body: unknown): Answer | Promise<Answer> {
    const report = decodeReport(body);
    if (report === undefined) return { status: 400, body: { error: 'not a report' } };
    const knocked = this.owner.knocks.has(report.host);
    const answer = this.owner.hello(report);
    if (!knocked && this.owner.knocks.has(report.host)) this.gossipSoon();
    // It has been sent to its owner before and is back: it can't get there, but this node may.
    if (answer.status === 421 && answer.again && answer.body.Steward !== undefined) {
      return this.relay(answer.body.Steward, body);
    }
    return answer;
  }

  /** A worker that knocks at a stranger is news that others wait for before they take it for dead. */
  private gossipSoon(): void {
    if (this.gossiping) return;
    this.gossiping = true;
    void this.clock.sleep(GOSSIP_SOON_MS).then(() => {
      this.gossiping = false;
      for (const { node } of this.settings.peers) this.send(node, { gossip: this.gossip(node) });
    });
  }

  private watchPauseMs(): number {
    const { peers } = this.settings;
    return this.peers.heard().length < peers.length ? WATCH_PAUSE_MS : WATCH_HEARD_PAUSE_MS;
  }

  /** Collects what this node's transactions have changed, and tells the peers. */
  private tell(changes: Change[]): void {
    if (this.settings.peers.length === 0) return;
    this.news.push(...changes);
    if (this.news.length > changes.length) return;
    void this.clock.sleep(NEWS_GATHER_MS).then(() => {
      const told = this.news.splice(0).map(({ key, value, stamp }) => ({
        key,
        value: value === undefined ? null : JSON.stringify(value),
        stamp,
      }));
      const message: Message = { news: { changes: told } };
      for (const { node } of this.settings.peers) this.send(node, message);
    });
  }

  private learn({ changes }: News): void {
    let read: Change[];
    try {
      // All or nothing: a transaction's changes belong together.
      read = readChanges(changes);
    } catch (error) {
      this.log.warn({ error: String(error) }, 'news of a peer can not be read');
      void this.replica.refresh();
      return;
    }
    for (const change of read) {
      const { key } = change;
      if (key.startsWith(LIVE)) this.replica.hear(change);
      else this.committer.remember(key, change);
    }
  }

  private async relay(owner: string, body: unknown): Promise<Answer> {
    const answer = await this.relays.ask(owner, body);
    const orders = answer?.status === 200 ? parseJson(answer.body) : undefined;
    if (orders === undefined) return { status: 421, body: { Steward: owner } };
    return { status: 200, body: orders };
  }

  /** What another controller says. */
  receive(message: Message): void {
    if ('gossip' in message) this.hear(message.gossip);
    else if ('relayAnswer' in message) this.relays.take(message.relayAnswer);
    else if ('news' in message) this.learn(message.news);
    else if ('ask' in message) this.coverage.answer(message.ask);
    else if ('delta' in message) this.coverage.take(message.delta);
    else {
      const { node, id, report: text } = message.relay;
      const report = decodeReport(parseJson(text));
      if (report === undefined) {
        this.log.warn({ from: node }, 'relayed report can not be read');
        return;
      }
      const { status, body } = this.owner.hello(report, node);
      this.send(node, { relayAnswer: { node: this.settings.node, id, status, body: JSON.stringify(body) } });
    }
  }

  private takeFlavor(key: string, value: unknown): void {
    if (!key.startsWith(FLAVOR) || value === undefined) return;
    const catalog = decodeCatalog({ Flavors: [value] });
    if (catalog === undefined) this.log.error({ key }, 'record can not be read');
    for (const [sku, flavor] of catalog ?? []) this.fleet.catalog.set(sku, flavor);
  }

  private jobChanged(ref: string, shards?: readonly number[]): void {
    const view = this.book.jobs.get(ref);
    this.planner.poke(view !== undefined && this.isUrgent(view));
    if (view === undefined) return;
    const withdrawn = view.record.phase === 'withdrawn';
    const isBatch = view.record.spec.Shape === 'array';
    for (const shard of shards ?? [...view.known()].map(([each]) => each)) {
      const slot = view.slot(shard);
      if (slot.kind !== 'placed') continue;
      const worker = this.owner.workers.get(slot.host);
      const task = worker?.tasks.get(shardName(ref, shard));
      const unlaunched = task === undefined || task.attempt !== slot.attempt;
      if (worker === undefined) continue;
      if (withdrawn || slot.stop !== null) this.owner.push(slot.host);
      else if (unlaunched) this.owner.push(slot.host, isBatch ? this.periodMs * BATCH_PUSH_GATHER_SHARE : undefined);
    }
    if (view.placed === 0 && (withdrawn || view.complete)) this.finish(ref);
  }

  /** Does work wait here for seconds at most, that this very node places? */
  private isUrgent({ ref, record, queued }: JobView): boolean {
    if (record.spec.Shape === 'array' || queued.length === 0) return false;
    const role = isLarge(record.spec) ? LEADER : partRole(this.claims.partOf(ref));
    return this.claims.holding(role) !== undefined;
  }

  private claimChanged(): void {
    this.planner.poke();
    void this.claims.settle();
  }

  private noteChecks(report: Report): void {
    for (const [name, task] of report.tasks) {
      const shard = parseShard(name);
      if (shard !== undefined && task.phase === 'running') this.noteCheck(shard.ref, shard.shard, true);
    }
  }

  private noteCheck(ref: string, shard: number, healthy: boolean): void {
    if (this.book.jobs.get(ref)?.record.spec.Shape !== 'service') return;
    this.happiness.note(shardName(ref, shard), healthy, this.clock.now());
  }

  /** Records the end of a job whose tasks are all over. Any node may: the record decides. */
  private finish(ref: string): void {
    if (this.ending.has(ref)) return;
    this.ending.add(ref);
    void this.committer
      .commit('end', Priority.record, (draft) => {
        const row = this.replica.get(`${LIVE}job/${ref}`);
        // What happened before a withdrawal must have been seen: a start that it didn't prevent may be in the ledger.
        const withdrawn = this.book.jobs.get(ref)?.record.phase === 'withdrawn';
        if (withdrawn && this.replica.epoch < row.stamp) return false;
        return endJob(draft, ref, this.settings.cluster.state.txn_ops);
      })
      .then((outcome) => {
        this.ending.delete(ref);
        if (outcome.kind === 'done') this.log.info({ job: ref }, 'job over');
      });
  }

  /** Level-triggered: whatever was missed, the owner of the job's part ends the job. */
  private finishAll(): void {
    if (!this.claims.inTouch) return;
    for (const [ref, view] of this.book.jobs) {
      if (view.placed > 0 || (view.record.phase === 'active' && !view.complete)) continue;
      const role = partRole(this.claims.partOf(ref));
      const mine = this.claims.holding(role) !== undefined;
      if (mine || (this.claims.isLeader && this.claims.ownerOf(role) === undefined)) this.finish(ref);
    }
    if (this.claims.isLeader) this.sweepChunks();
    this.happiness.prune(this.clock.now());
    this.fleet.prune();
  }

  /** A job's record goes with its end, and its ledger can't change after: what is left of it is dropped. */
  private sweepChunks(): void {
    for (const { ref, chunks } of this.book.leftChunks()) {
      void this.committer.commit('sweep', Priority.background, (draft) => {
        if (!this.claims.require(draft, LEADER) || draft.get(jobKey(ref)) !== undefined) return false;
        for (const chunk of chunks.slice(0, this.settings.cluster.state.txn_ops)) draft.drop(chunkKey(ref, chunk));
        return true;
      });
    }
  }

  /** Gives parts back to the nodes that prefer them, and parts whose workers can't reach this node to others. */
  private balance(): void {
    if (!this.claims.inTouch) return;
    const now = this.clock.now();
    for (const part of this.claims.ownedParts()) {
      const role = partRole(part);
      const home = this.claims.homeOf(part);
      const ready = this.peers.upMs(home) > HANDBACK_MS && this.peers.hasStore(home);
      if (home !== this.settings.node && ready && !this.peers.avoids(home, role)) {
        void this.claims.cede(role, 'its own node is back', HOLD_TTL_MS);
        continue;
      }
      const workers = [...this.owner.workers.values()].filter((worker) => this.claims.partOf(worker.host) === part);
      const limit = silenceLimitMs(this.settings.cluster.workers);
      const silent = workers.filter((worker) => now - worker.reportedAt > limit);
      const seen = silent.filter((worker) => this.peers.knocked(worker.host, worker.reportedAt));
      if (
        silent.length >= 2 &&
        silent.length > workers.length * SELF_SUSPECT_SHARE &&
        seen.length * 2 > silent.length
      ) {
        void this.claims.cede(role, 'its workers reach other nodes only', AVOID_MS);
      }
    }
  }

  /** Tells this node's fence to workers that have not been heard since a takeover. */
  private greet(): void {
    if (!this.claims.inTouch) return;
    for (const host of this.book.hostsInUse()) {
      if (this.owner.workers.has(host) || this.claims.holding(this.owner.roleOf(host)) === undefined) continue;
      const endpoint = this.fleet.known(host)?.endpoint ?? this.leader.listing.get(host)?.endpoint;
      if (endpoint === undefined) continue;
      let tenure = 0;
      for (const place of this.book.placesOn(host)) tenure = Math.max(tenure, place.slot.tenure);
      void this.owner.greet(host, endpoint, tenure);
    }
  }

  /** What this node has to tell one peer. */
  gossip(to: string): Gossip {
    const now = this.clock.now();
    if (this.loadedAt === undefined && this.replica.loaded) this.loadedAt = now;
    return {
      node: this.settings.node,
      upMs: this.loadedAt === undefined ? 0 : now - this.loadedAt,
      freshAgeMs: Math.min(now - this.replica.freshAt, 1e12),
      withoutStore: this.withoutStore,
      hears: this.peers.heard(),
      ...this.coverage.tell(to),
      ...this.tellings.compose(to, this.ownNews(now), this.passedNews(now, to), now),
      wants: this.missed.has(to),
      knocks: [
        ...[...this.owner.knocks].map(([host, at]) => ({ host, ageMs: now - at })),
        // After a restart hundreds knock: what the peer hears itself is not passed on to it.
        ...(this.unheardBy(to).size > 0 ? this.peers.knocksHeard() : []),
      ],
      avoids: this.claims.avoided(),
      gone: this.fleet.lately(),
    };
  }

  private own: Own = { at: -Infinity, machines: [] };

  /** The machines of this node's parts, described once for all peers. */
  private ownNews(now: number): Own {
    if (now - this.own.at < GOSSIP_VIEW_MS) return this.own;
    // A node that must not answer its workers knows nothing of them either.
    const mine = this.claims.ownedParts().filter((part) => this.claims.mayAnswer(partRole(part)) !== undefined);
    const machines = this.fleet.own().filter(({ host }) => mine.includes(this.claims.partOf(host)));
    this.own = ownAt(
      now,
      machines.map((machine) => newsOf(machine, now, now)),
    );
    return this.own;
  }

  /** The nodes that a peer does not hear itself. */
  private unheardBy(peer: string): Set<string> {
    const nodes = this.settings.peers.map(({ node }) => node);
    return new Set(nodes.filter((node) => node !== peer && !this.peers.hears(peer, node)));
  }

  /** Of others' machines only what a peer can't hear itself: all from everybody to everybody would grow with both. */
  private passedNews(now: number, to: string): MachineNews[] {
    const unheard = this.unheardBy(to);
    if (unheard.size === 0) return [];
    const passed = this.fleet.passOn((owner) => unheard.has(owner));
    return [...passed].map(({ machine, knownAt }) => newsOf(machine, now, knownAt));
  }

  private hear(gossip: Gossip): void {
    this.peers.hear(gossip);
    this.coverage.hear(gossip);
    for (const host of gossip.gone) this.fleet.remove(host);
    const now = this.clock.now();
    if (gossip.wants) this.tellings.renew(gossip.node);
    const { machines, same, gap } = this.heard.take(gossip);
    if (gap && !this.missed.has(gossip.node)) {
      this.missed.add(gossip.node);
      this.log.info({ from: gossip.node }, 'a message of the peer is missing');
      this.gossipSoon();
    }
    if (gossip.whole) this.missed.delete(gossip.node);
    for (const machine of machines) this.fleet.hear(infoOf(machine, now), now - machine.knownAgeMs);
    for (const { machine, heardAgeMs, tick } of same) {
      if (this.fleet.hearAgain(machine.host, gossip.node, now - heardAgeMs, tick, now)) continue;
      this.fleet.hear(infoOf({ ...machine, heardAgeMs, tick, warnedMs: null }, now), now);
    }
  }
}

/** undefined: not JSON. */
function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

const newsOf = ({ heardAt, warnedUntil, ...rest }: MachineInfo, now: number, knownAt: number): MachineNews => ({
  ...rest,
  number: -1,
  heardAgeMs: now - heardAt,
  knownAgeMs: now - knownAt,
  warnedMs: warnedUntil === null ? null : warnedUntil - now,
});

const infoOf = ({ heardAgeMs, warnedMs, ...rest }: MachineNews, now: number): MachineInfo => ({
  ...rest,
  heardAt: now - heardAgeMs,
  warnedUntil: warnedMs === null ? null : now + warnedMs,
});

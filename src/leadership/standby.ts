/**
 * Wires the warm standby (packages/standby): who succeeds whom, the stream of advisory state, the barrier before decisions, and
 * the timeline of takeovers. Without `[standby] enabled` nothing of it is made.
 */
import {
  AdvisoryLog,
  FollowingPace,
  PauseGuard,
  StreamFollower,
  StreamSender,
  TakeoverBarrier,
  TakeoverTimeline,
  designateSuccessor,
  stepDurations,
  type AdvisoryKind,
  type BarrierOutcome,
  type Candidate,
  type StandbySettings,
  type StreamMessage,
  type TakeoverTracer,
} from '@dewlatch/standby';
import { ADVICE_PERIOD_MS, FOLLOW_PERIOD_MS, FOLLOWER_TIMEOUT_MS, STANDBY_PERIOD_MS } from '../constants/standby.js';
import { STORE_LEASE_TTL_MS } from '../constants/leadership.js';
import { STATUS_PERIOD_MS } from '../constants/autoscaling.js';
import type { Settings } from '../domain/settings.js';
import type { ClusterState } from '../records/cluster-state.js';
import { parseTaskId } from '../domain/task.js';
import { standbyKey } from '../records/record-keys.js';
import { decodeStandbyRecord, encodeStandbyRecord } from '../records/record-codecs.js';
import { CLUSTER_LEADER_ROLE, partitionOfRole, partitionRole } from '../domain/role.js';
import type { HeldLeadership, RoleLeadership, SuccessionPolicy } from './role-leadership.js';
import type { HappinessMemory, LeaderMemory } from './advisory-memory.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import type { PeerDirectory } from '../gossip/peer-directory.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { Replica } from '../store/replica.js';
import type { Log } from '../logging/log.js';

export interface StandbyDependencies {
  settings: Settings;
  standby: StandbySettings;
  /** Tells this process from its former ones, as the gossip says it. */
  incarnation: number;
  leadership: RoleLeadership;
  peerDirectory: PeerDirectory;
  clusterState: ClusterState;
  replica: Replica;
  transactions: TransactionBatcher;
  happiness: HappinessMemory;
  leader: { readonly memory: LeaderMemory };
  clock: Clock;
  log: Log;
  send: (node: string, message: { kind: 'standby_stream'; payload: StreamMessage }) => void;
  tracer: TakeoverTracer;
}

interface FormerClaim {
  readonly node: string;
  readonly modRevision: number;
}

/** Looks of a standby between two of its periodic works. */
const LOOKS_PER_REQUEST = Math.round(FOLLOW_PERIOD_MS / STANDBY_PERIOD_MS);
const LOOKS_PER_STATUS = Math.round(STATUS_PERIOD_MS / STANDBY_PERIOD_MS);
const LOOKS_PER_COLLECTION = Math.round(ADVICE_PERIOD_MS / STANDBY_PERIOD_MS);

export class Standby implements SuccessionPolicy {
  private readonly guard: PauseGuard;
  private readonly barriers = new Map<string, TakeoverBarrier>();
  private readonly outcomes = new Map<string, string>();
  private readonly advice: AdvisoryLog;
  private readonly sender: StreamSender;
  private readonly followers = new Map<string, StreamFollower>();
  private readonly pace = new FollowingPace();
  private readonly timeline: TakeoverTimeline;
  /** Who held each role last, other than this node. */
  private readonly former = new Map<string, FormerClaim>();
  /** Claims of this node as the last look found them, by role. */
  private readonly own = new Map<string, number>();
  /** Roles that the last look at the claims found vacant. */
  private readonly vacant = new Set<string>();
  private looks = 0;

  constructor(private readonly dependencies: StandbyDependencies) {
    const { settings, standby, incarnation, clock, log, tracer } = dependencies;
    const now = () => clock.now();
    this.guard = new PauseGuard(now, STORE_LEASE_TTL_MS);
    this.advice = new AdvisoryLog(now);
    const bounds = {
      bytesPerSecond: standby.stream_bytes_per_s,
      messageBytes: standby.message_bytes,
      unacknowledgedBytes: standby.unacknowledged_bytes,
      followerTimeoutMs: FOLLOWER_TIMEOUT_MS,
    };
    this.sender = new StreamSender(settings.node, incarnation, this.advice, bounds, now);
    this.timeline = new TakeoverTimeline(now, (report) => {
      const { role, former } = report;
      log.info({ role, former, ms: stepDurations(report) }, 'takeover');
      tracer.takenOver(report);
    });
  }

  // ---- who succeeds whom

  /** Of a role that nobody is known to have held there is none: after a restart of all each controller comes for its own. */
  successorOf(role: string): string | undefined {
    const former = this.former.get(role);
    return former === undefined ? undefined : this.designate(role, former.node);
  }

  private designate(role: string, holder: string | undefined): string | undefined {
    const { leadership } = this.dependencies;
    const partition = partitionOfRole(role);
    const home = partition === undefined ? undefined : leadership.preferredNodeOf(partition);
    return designateSuccessor({ role, holder, home }, this.candidates(role));
  }

  private candidates(role: string): Candidate[] {
    const { settings, leadership, peerDirectory, clusterState } = this.dependencies;
    const holders = [...clusterState.leadershipRecords.values()].map(({ record }) => record.node);
    const rolesOf = (node: string) => holders.filter((holder) => holder === node).length;
    const own: Candidate = {
      node: settings.node,
      zone: settings.zone,
      isServing: leadership.isInTouchWithStore && this.isConfirmed,
      avoidsRole: leadership.avoidedRoles().includes(role),
      roles: rolesOf(settings.node),
    };
    const others = settings.peers.map(({ node, zone }): Candidate => ({
      node,
      zone,
      isServing: peerDirectory.reachesStore(node),
      avoidsRole: peerDirectory.avoidsRole(node, role),
      roles: rolesOf(node),
    }));
    return [own, ...others];
  }

  // ---- what must hold before a decision

  get isConfirmed(): boolean {
    return this.guard.isConfirmed;
  }

  get wasConfirmed(): boolean {
    return this.guard.wasConfirmed;
  }

  confirm(sentAt: number): void {
    this.guard.confirm(sentAt);
  }

  mayDecide(role: string, held: HeldLeadership): boolean {
    const isReady = this.isReady(role, held);
    if (isReady) this.timeline.note(role, 'decided');
    return isReady;
  }

  isReady(role: string, held: HeldLeadership): boolean {
    const { leadership, replica } = this.dependencies;
    const outcome = this.barrierOf(role).assess({
      term: held.term,
      // Whoever has found the role held has looked at this very moment.
      isConfirmed: this.wasConfirmed,
      isInTouch: leadership.isInTouchWithStore,
      completeUpTo: replica.revision,
    });
    this.noteOutcome(role, outcome);
    return outcome.kind === 'open';
  }

  /** What was followed is of use before the first decision, too. */
  private assessAll(): void {
    const { leadership, clusterState } = this.dependencies;
    for (const role of clusterState.leadershipRecords.keys()) {
      const held = leadership.leadershipOf(role);
      if (held !== undefined) this.isReady(role, held);
    }
  }

  private barrierOf(role: string): TakeoverBarrier {
    let barrier = this.barriers.get(role);
    if (barrier === undefined) {
      barrier = new TakeoverBarrier(() => this.reconcile(role));
      this.barriers.set(role, barrier);
    }
    return barrier;
  }

  private noteOutcome(role: string, outcome: BarrierOutcome): void {
    const text = outcome.kind === 'open' ? 'open' : outcome.reason;
    if (this.outcomes.get(role) === text) return;
    this.outcomes.set(role, text);
    this.dependencies.log.info({ role, barrier: text }, 'takeover barrier');
  }

  acquired(role: string): void {
    this.timeline.note(role, 'claimed');
  }

  /** A worker of the partition has been answered. */
  workerAnswered(role: string): void {
    this.timeline.note(role, 'worker_answered');
  }

  // ---- claims as they change

  /** To be called whenever a claim has changed. */
  leadershipChanged(): void {
    const { settings, leadership, clusterState, peerDirectory } = this.dependencies;
    const roles = [
      CLUSTER_LEADER_ROLE,
      ...Array.from({ length: leadership.partitionCount }, (_, n) => partitionRole(n)),
    ];
    for (const role of roles) {
      const holder = clusterState.leadershipRecords.get(role);
      if (holder === undefined) this.noteVacant(role, peerDirectory);
      else {
        this.vacant.delete(role);
        if (holder.record.node === settings.node) {
          this.own.set(role, holder.modRevision);
          continue;
        }
        this.noteLoss(role);
        this.timeline.taken(role);
        this.former.set(role, { node: holder.record.node, modRevision: holder.modRevision });
      }
    }
  }

  private noteLoss(role: string): void {
    const modRevision = this.own.get(role);
    if (modRevision === undefined) return;
    this.own.delete(role);
    const { tracer, clock } = this.dependencies;
    tracer.lost({ role, fencingToken: modRevision, confirmedAt: this.guard.lastConfirmedAt, noticedAt: clock.now() });
  }

  private noteVacant(role: string, peerDirectory: PeerDirectory): void {
    const former = this.former.get(role);
    if (this.vacant.has(role)) return;
    this.vacant.add(role);
    if (former !== undefined)
      this.timeline.vacant(role, former.node, former.modRevision, peerDirectory.lastHeardAt(former.node));
  }

  // ---- the stream

  receive(message: StreamMessage): void {
    if ('follow' in message) {
      this.sender.take(message.follow);
      this.push();
      return;
    }
    const { batch } = message;
    const outcome = this.followers.get(batch.node)?.take(batch);
    if (outcome?.kind !== 'refused') return;
    this.dependencies.log.info({ from: batch.node, reason: outcome.reason }, 'stream message refused');
    if (outcome.reason === 'gap') this.ask(batch.node);
  }

  private push(): void {
    for (const [node, batches] of this.sender.compose())
      for (const batch of batches) this.dependencies.send(node, { kind: 'standby_stream', payload: { batch } });
  }

  /** The nodes that this one should be ready to succeed. */
  private followed(): Set<string> {
    const { settings, clusterState } = this.dependencies;
    const nodes = new Set<string>();
    for (const [role, { record }] of clusterState.leadershipRecords) {
      if (record.node !== settings.node && this.designate(role, record.node) === settings.node) nodes.add(record.node);
    }
    return nodes;
  }

  private askAll(): void {
    for (const node of this.followed()) {
      if (!this.followers.has(node)) {
        const { settings, incarnation, standby, clock } = this.dependencies;
        this.followers.set(node, new StreamFollower(settings.node, incarnation, standby.max_lag_ms, () => clock.now()));
      }
      this.ask(node);
    }
  }

  private ask(node: string): void {
    const follower = this.followers.get(node);
    if (follower === undefined || !this.canRead(node)) return;
    this.dependencies.send(node, { kind: 'standby_stream', payload: { follow: follower.request() } });
  }

  /** The very process that is heard from the node has said in the store that it reads the stream. */
  private canRead(node: string): boolean {
    const { replica, peerDirectory } = this.dependencies;
    const record = decodeStandbyRecord(replica.get(standbyKey(node)).value);
    return record !== undefined && record.incarnation === peerDirectory.incarnationOf(node);
  }

  /** Says in the store that this process reads the stream. */
  private async announce(): Promise<void> {
    const { settings, incarnation, leadership, replica, transactions } = this.dependencies;
    const key = standbyKey(settings.node);
    const isAnnounced = () => decodeStandbyRecord(replica.get(key).value)?.leaseId === leadership.storeLeaseId;
    if (leadership.storeLeaseId === undefined || !leadership.isInTouchWithStore || isAnnounced()) return;
    await transactions.commit('standby', Priority.lease, (draft) => {
      if (leadership.storeLeaseId === undefined || isAnnounced()) return false;
      draft.setUnderLease(
        key,
        encodeStandbyRecord({ incarnation: incarnation, leaseId: leadership.storeLeaseId }),
        leadership.storeLeaseId,
      );
      return true;
    });
  }

  // ---- what is told, and what is taken over

  /** What changes at single moments is collected at each look. */
  private collectEvents(): void {
    const { leadership, happiness, leader } = this.dependencies;
    const { memory } = leader;
    const isLeader = leadership.isLeader;
    this.tell(
      'moved',
      [...happiness.movedLately()].map(({ task, at }) => ({ name: task, at })),
    );
    this.tell('stopping', isLeader ? [...memory.stopping()].map(({ attempt, at }) => ({ name: attempt, at })) : []);
    this.tell('no_capacity', isLeader ? [...memory.refused()].map(({ offer, at }) => ({ name: offer, at })) : []);
  }

  /** What is counted over a while is collected more rarely. */
  private collectCounts(): void {
    const { leadership, happiness, leader, clock } = this.dependencies;
    const idle = leadership.isLeader ? [...leader.memory.idle()] : [];
    this.tell(
      'idle',
      idle.map(({ machineId, at }) => ({ name: machineId, at })),
    );
    const troubled = [...happiness.troubled(clock.now())];
    const health = troubled.map(({ task, healthy, unhealthy, lastAt }) => {
      return { kind: 'health' as const, name: task, at: lastAt, healthy, unhealthy };
    });
    this.advice.replace('health', health);
  }

  private tell(kind: Exclude<AdvisoryKind, 'health'>, moments: readonly { name: string; at: number }[]): void {
    this.advice.replace(
      kind,
      moments.map(({ name, at }) => ({ kind, name, at, healthy: 0, unhealthy: 0 })),
    );
  }

  /** Takes in what was followed of the former holder, as far as the records agree. */
  private reconcile(role: string): void {
    const { log } = this.dependencies;
    this.timeline.note(role, 'records_complete');
    const former = this.former.get(role);
    const follower = former === undefined ? undefined : this.followers.get(former.node);
    if (former === undefined || follower === undefined || follower.size === 0) return;
    const taken = role === CLUSTER_LEADER_ROLE ? this.takeLeaders(follower) : this.takePartitions(role, follower);
    const knownMs = Math.round(this.dependencies.clock.now() - follower.knownAt);
    log.info({ role, former: former.node, entries: follower.size, taken, knownMs }, 'standby state taken over');
  }

  private takeLeaders(follower: StreamFollower): number {
    const { memory } = this.dependencies.leader;
    const stopping = follower.entries('stopping');
    const refused = follower.entries('no_capacity');
    const idle = follower.entries('idle').filter(({ name }) => this.dependencies.clusterState.taskCountOn(name) === 0);
    for (const { name, at } of stopping) memory.restoreStopping(name, at);
    for (const { name, at } of refused) memory.restoreRefusal(name, at);
    for (const { name, at } of idle) memory.restoreIdle(name, at);
    return stopping.length + refused.length + idle.length;
  }

  private takePartitions(role: string, follower: StreamFollower): number {
    const { happiness } = this.dependencies;
    const health = follower.entries('health').filter(({ name }) => this.isPlacedIn(role, name));
    const moved = follower.entries('moved').filter(({ name }) => this.isPlacedIn(role, name));
    for (const { name, healthy, unhealthy, at } of health) happiness.restore(name, healthy, unhealthy, at);
    for (const { name, at } of moved) happiness.noteMove(name, at);
    return health.length + moved.length;
  }

  private isPlacedIn(role: string, task: string): boolean {
    const { clusterState, leadership } = this.dependencies;
    const shard = parseTaskId(task);
    const placement =
      shard === undefined ? undefined : clusterState.jobs.get(shard.jobId)?.placementOf(shard.taskIndex);
    return placement?.kind === 'placed' && partitionRole(leadership.partitionOf(placement.machineId)) === role;
  }

  // ---- the routine

  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.dependencies;
    while (!signal.aborted) {
      const due = clock.now() + STANDBY_PERIOD_MS;
      await clock.sleep(STANDBY_PERIOD_MS, signal);
      if (signal.aborted) return;
      this.guard.look();
      const stage = this.pace.look(clock.now() - due);
      if (stage !== undefined) this.dependencies.log.info({ stage }, 'standby stage');
      this.look();
    }
  }

  private look(): void {
    this.looks++;
    this.timeline.sweep();
    this.assessAll();
    if (this.looks % LOOKS_PER_STATUS === 0) this.dependencies.log.info(this.status, 'standby');
    if (!this.dependencies.standby.follow) return;
    void this.announce();
    this.collectEvents();
    if (this.looks % LOOKS_PER_COLLECTION === 0) this.collectCounts();
    if (this.looks % LOOKS_PER_REQUEST === 0 && this.pace.mayAsk) this.askAll();
    this.push();
  }

  /** What an operator wants to know of it. */
  get status(): object {
    const { followers, snapshots, bytesSent, behind } = this.sender.status;
    const lags = [...this.followers].map(([node, follower]) => [node, Math.round(follower.lagMs)]);
    const lagMs = Object.fromEntries(lags.filter(([, lag]) => Number.isFinite(lag))) as Record<string, number>;
    const entries = this.advice.size;
    return { stage: this.pace.stage, followed: lagMs, followers, behind, snapshots, bytesSent, entries };
  }
}

/**
 * Integrates the warm standby (packages/standby) into the controller: succession, the takeover barrier, the advisory stream, and
 * the timeline of takeovers. Only created with `[standby] enabled`.
 */
import {
  AdvisoryLog,
  FollowThrottle,
  PauseGuard,
  type StandbySettings,
  stepDurations,
  type StreamMessage,
  type TakeoverReport,
  TakeoverTimeline,
  type TakeoverTracer,
} from '@dewlatch/standby';

import { STATUS_PERIOD_MS } from '../constants/autoscaling.js';
import { STORE_LEASE_TTL_MS } from '../constants/leadership.js';
import { ADVISORY_COLLECTION_PERIOD_MS, FOLLOW_PERIOD_MS, STANDBY_PERIOD_MS } from '../constants/standby.js';
import type { Settings } from '../domain/settings.js';
import type { PeerDirectory } from '../gossip/peer-directory.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { Replica } from '../store/replica.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import { AdvisoryCollector } from './advisory-collector.js';
import { AdvisoryRestorer } from './advisory-restorer.js';
import type { HealthAdvisoryState, LeaderAdvisoryState } from './advisory-state.js';
import { AdvisoryStream } from './advisory-stream.js';
import { LeadershipHistory } from './leadership-history.js';
import type { HeldLeadership } from './leadership-term.js';
import { RoleBarriers } from './role-barriers.js';
import type { RoleLeadership } from './role-leadership.js';
import { StandbyAnnouncer } from './standby-announcer.js';
import type { SuccessionPolicy } from './succession-policy.js';
import { SuccessorDesignation } from './successor-designation.js';

/** Parts of the controller that the warm standby depends on. */
export interface StandbyDependencies {
  settings: Settings;
  standby: StandbySettings;
  /** Distinguishes this process from its former incarnations; the same number as in gossip. */
  incarnation: number;
  leadership: RoleLeadership;
  peerDirectory: PeerDirectory;
  clusterState: ClusterState;
  replica: Replica;
  transactions: TransactionBatcher;
  happiness: HealthAdvisoryState;
  leader: { readonly advisoryState: LeaderAdvisoryState };
  clock: Clock;
  log: Log;
  send: (node: string, message: { kind: 'standby_stream'; payload: StreamMessage }) => void;
  tracer: TakeoverTracer;
}

/** Ticks between requests to followed leaders, between status lines, and between collections of advisory state. */
const TICKS_PER_REQUEST = Math.round(FOLLOW_PERIOD_MS / STANDBY_PERIOD_MS);
const TICKS_PER_STATUS = Math.round(STATUS_PERIOD_MS / STANDBY_PERIOD_MS);
const TICKS_PER_COLLECTION = Math.round(ADVISORY_COLLECTION_PERIOD_MS / STANDBY_PERIOD_MS);

/** Facade of the warm standby towards the controller. */
export class Standby implements SuccessionPolicy {
  private readonly guard: PauseGuard;
  private readonly advisoryLog: AdvisoryLog;
  private readonly throttle = new FollowThrottle();
  private readonly timeline: TakeoverTimeline;
  private readonly history: LeadershipHistory;
  private readonly designation: SuccessorDesignation;
  private readonly stream: AdvisoryStream;
  private readonly announcer: StandbyAnnouncer;
  private readonly collector: AdvisoryCollector;
  private readonly restorer: AdvisoryRestorer;
  private readonly barriers: RoleBarriers;
  private ticks = 0;

  constructor(private readonly dependencies: StandbyDependencies) {
    const { settings, leadership, clock } = dependencies;
    const now = () => clock.now();
    this.guard = new PauseGuard(now, STORE_LEASE_TTL_MS);
    this.advisoryLog = new AdvisoryLog(now);
    this.timeline = new TakeoverTimeline(now, (report) => this.takeoverFinished(report));
    const { guard, advisoryLog, timeline } = this;
    const { node } = settings;
    const { partitionCount } = leadership;
    this.history = new LeadershipHistory({ ...dependencies, node, partitionCount, guard, timeline });
    const { history } = this;
    this.designation = new SuccessorDesignation({ ...dependencies, guard, history });
    this.stream = new AdvisoryStream({ ...dependencies, node, advisoryLog });
    this.announcer = new StandbyAnnouncer({ ...dependencies, node });
    this.collector = new AdvisoryCollector({ ...dependencies, advisoryLog });
    this.restorer = new AdvisoryRestorer({ ...dependencies, history, stream: this.stream });
    const replicaComplete = (role: string) => this.replicaComplete(role);
    this.barriers = new RoleBarriers({ ...dependencies, guard, replicaComplete });
  }

  successorOf(role: string): string | undefined {
    return this.designation.successorOf(role);
  }

  get isLeaseConfirmed(): boolean {
    return this.guard.isLeaseConfirmed;
  }

  get wasLeaseConfirmed(): boolean {
    return this.guard.wasLeaseConfirmed;
  }

  recordLeaseConfirmation(sentAt: number): void {
    this.guard.recordLeaseConfirmation(sentAt);
  }

  isReady(role: string, held: HeldLeadership): boolean {
    return this.barriers.isOpen(role, held);
  }

  mayDecide(role: string, held: HeldLeadership): boolean {
    const isReady = this.isReady(role, held);
    if (isReady) this.timeline.recordStep(role, 'decided');
    return isReady;
  }

  roleAcquired(role: string): void {
    this.timeline.recordStep(role, 'acquired');
  }

  /** Called when a worker of the role's partition is answered. */
  workerAnswered(role: string): void {
    this.timeline.recordStep(role, 'worker_answered');
  }

  /** Must be called after every change of a leadership record. */
  leadershipChanged(): void {
    this.history.leadershipRecordsChanged();
  }

  /** Handles a stream message from another controller. */
  receive(message: StreamMessage): void {
    this.stream.receive(message);
  }

  private takeoverFinished(report: TakeoverReport): void {
    const { role, formerLeader } = report;
    this.dependencies.log.info({ role, formerLeader, stepsMs: stepDurations(report) }, 'takeover finished');
    this.dependencies.tracer.takeoverFinished(report);
  }

  private replicaComplete(role: string): void {
    this.timeline.recordStep(role, 'records_complete');
    this.restorer.restore(role);
  }

  /** Runs the periodic duties until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, log } = this.dependencies;
    while (!signal.aborted) {
      const dueAt = clock.now() + STANDBY_PERIOD_MS;
      await clock.sleep(STANDBY_PERIOD_MS, signal);
      if (signal.aborted) return;
      this.guard.check();
      const stage = this.throttle.recordTick(clock.now() - dueAt);
      if (stage !== undefined) log.info({ stage }, 'standby follow stage changed');
      this.tick();
    }
  }

  private tick(): void {
    this.ticks++;
    this.timeline.expire();
    this.barriers.assessAll();
    if (this.ticks % TICKS_PER_STATUS === 0) this.dependencies.log.info(this.status, 'standby status');
    if (this.dependencies.standby.follow) this.follow();
  }

  /** One tick of the exchange between followers and followed leaders. */
  private follow(): void {
    void this.announcer.announce();
    this.collector.collectEvents();
    if (this.ticks % TICKS_PER_COLLECTION === 0) this.collector.collectCounts();
    if (this.ticks % TICKS_PER_REQUEST === 0 && this.throttle.canRequest)
      this.stream.requestFrom(this.designation.leadersToFollow());
    this.stream.sendChanges();
  }

  /** Fields of the periodic log line `standby status`. */
  get status(): object {
    const { followers, snapshots, bytesSent, maxPendingChanges } = this.stream.senderStatus;
    const entries = this.advisoryLog.size;
    const lagMs = this.stream.followedLagsMs();
    return { stage: this.throttle.stage, lagMs, followers, maxPendingChanges, snapshots, bytesSent, entries };
  }
}

import {
  OVERDUE_START_MS,
  MAX_PLAN_TASKS,
  MAX_UNPLACED,
  PLAN_GATHER_MS,
  SAMPLE_TASKS_OF_JOB,
  PLAN_TICK_MS,
  URGENT_PLANNING_TIME_SHARE,
  PLANNING_TIME_SHARE,
} from '../constants/scheduling.js';
import type { ReschedulingSettings, Settings } from '../domain/settings.js';
import type { Team, TeamUsage } from '../domain/team.js';
import type { ClusterState, JobView } from '../records/cluster-state.js';
import { startTask } from '../records/placement-mutations.js';
import { jobPlacementPrefix } from '../records/record-keys.js';
import { isPlacedByLeader, JobSpec } from '../domain/job.js';
import { isNonNegative, type Resources, subtractResources } from '../domain/resources.js';
import { runnableSinceMs } from '../records/records.js';
import { taskIdOf } from '../domain/task.js';
import type { TeamAccounting } from '../records/team-accounting.js';
import { isWithinQuota } from '../records/placement-rules.js';
import { resourcesOfMachineType } from '../domain/machine-type.js';
import { CLUSTER_LEADER_ROLE, partitionRole } from '../domain/role.js';
import type { MachineInfo } from '../domain/machine-state.js';
import {
  compareQueuedJobs,
  isFeasible,
  type QueuedJob,
  startByOf,
  targetsOf,
  isWithinGuarantee,
} from './decisions/queue-order.js';
import { startPriority } from '../records/transaction-priority.js';
import { GangAttempts } from './gang-attempts.js';
import { RetryBackoff } from './retry-backoff.js';
import { RunTimeRatios } from './run-time-ratios.js';
import { type PendingTask, TaskPlacer } from './task-placer.js';
import { CandidateMachineIndex, type CandidateMachines } from './candidate-machines.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { Clock } from '../net/clock.js';
import type { Random } from '../net/random.js';
import { Priority } from '../net/token-bucket.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { TransactionDraft } from '../store/transaction-draft.js';
import type { Log } from '../logging/log.js';
import { planRestMs } from './decisions/plan-rest.js';

interface InFlightStart {
  machineId: string;
  zone: string;
  spec: JobSpec;
}

interface Choice {
  waiting: PendingTask;
  machine: MachineInfo;
  attempt: number;
}

export interface PlacementPlannerDependencies {
  settings: Settings;
  tuning: ReschedulingSettings;
  leadership: RoleLeadership;
  clusterState: ClusterState;
  inventory: MachineInventory;
  transactions: TransactionBatcher;
  accounting: TeamAccounting;
  clock: Clock;
  random: Random;
  log: Log;
}

/** Finds places for waiting tasks: an owner for small jobs of its partitions, the leader for the rest. */
export class PlacementPlanner {
  private readonly settings: Settings;
  private readonly leadership: RoleLeadership;
  private readonly clusterState: ClusterState;
  private readonly inventory: MachineInventory;
  private readonly transactions: TransactionBatcher;
  private readonly accounting: TeamAccounting;
  private readonly clock: Clock;
  private readonly log: Log;
  private readonly inFlight = new Map<string, InFlightStart>();
  /** The flying shards of each job. */
  private readonly inFlightTasks = new Map<string, Set<number>>();
  private readonly runTimeRatios = new RunTimeRatios();
  private readonly gangs: GangAttempts;
  private readonly retryBackoff = new RetryBackoff();
  private readonly teams: Map<string, Team>;
  private readonly taskPlacer: TaskPlacer;
  private signal: AbortSignal | undefined;
  /** Steady ms of the next plan. */
  private nextAt = Infinity;
  /** Steady ms before which no other plan is made, or none for work that may wait. */
  private urgentRestUntil = -Infinity;
  private restUntil = -Infinity;
  /** What found no place in the leader's last round: what machines are rented and tasks preempted for. */
  unplacedTasks: PendingTask[] = [];

  constructor({
    settings,
    tuning,
    leadership,
    clusterState,
    inventory,
    transactions,
    accounting,
    clock,
    random,
    log,
  }: PlacementPlannerDependencies) {
    this.settings = settings;
    this.leadership = leadership;
    this.clusterState = clusterState;
    this.inventory = inventory;
    this.transactions = transactions;
    this.accounting = accounting;
    this.clock = clock;
    this.log = log;
    this.teams = new Map(settings.cluster.teams.map((team) => [team.name, team]));
    this.gangs = new GangAttempts({ workers: settings.cluster.workers, inventory, clock });
    this.taskPlacer = new TaskPlacer(tuning, clusterState, inventory, clock, random);
  }

  /** The machine that a moved task was matched to. */
  prefer(name: string, machineId: string): void {
    this.taskPlacer.prefer(name, machineId);
  }

  /** A task has run to its end: estimates of a class are often wrong all in the same direction. */
  learnRunTime(spec: JobSpec, ranS: number): void {
    this.runTimeRatios.record(spec, ranS);
  }

  /** A job has another rank: its starts that wait for their turn follow. */
  urgencyChanged(jobId: string): void {
    const spec = this.clusterState.jobs.get(jobId)?.record.spec;
    if (spec === undefined || startPriority(spec) !== Priority.start || !this.inFlightTasks.has(jobId)) return;
    this.transactions.promote((key) => key.startsWith(jobPlacementPrefix(jobId)), Priority.background, Priority.start);
  }

  /** Something has changed: plan soon. */
  planSoon(urgent = false): void {
    if (this.signal === undefined || this.signal.aborted) return;
    const now = this.clock.now();
    const at = Math.max(now + PLAN_GATHER_MS, urgent ? this.urgentRestUntil : this.restUntil);
    if (at >= this.nextAt) return;
    this.nextAt = at;
    void this.clock.sleep(at - now, this.signal).then(() => {
      // An earlier plan has taken this one's place.
      if (this.nextAt !== at || this.signal?.aborted !== false) return;
      this.nextAt = Infinity;
      this.round();
    });
  }

  /** Free room of each machine: what its type has, less what the ledger and flying starts take. */
  freeResources(machines: Iterable<MachineInfo>): Map<string, Resources> {
    const rooms = new Map<string, Resources>();
    for (const machine of machines) {
      const machineType = this.inventory.catalog.get(machine.machineType);
      if (machineType === undefined) continue;
      const room = resourcesOfMachineType(machineType);
      const taken = this.clusterState.usedOn(machine.machineId);
      if (taken !== undefined) {
        room.cpus -= taken.cpus;
        room.gpus -= taken.gpus;
        room.memoryGb -= taken.memoryGb;
      }
      rooms.set(machine.machineId, room);
    }
    for (const flight of this.inFlight.values()) {
      const room = rooms.get(flight.machineId);
      if (room !== undefined) subtractResources(room, flight.spec);
    }
    return rooms;
  }

  /** Each team's use, as the book and the flying starts have it. */
  teamUsages(): Map<string, TeamUsage> {
    const uses = new Map<string, TeamUsage>();
    for (const [team, use] of this.clusterState.teamUsages) uses.set(team, { ...use });
    for (const { spec } of this.inFlight.values()) {
      const use = uses.get(spec.team) ?? { cpus: 0, gpus: 0 };
      uses.set(spec.team, { cpus: use.cpus + spec.cpus, gpus: use.gpus + spec.gpus });
    }
    return uses;
  }

  /** The waiting shards of a job, in order; for a gang all or none. */
  pendingTasksOf(view: JobView, most = MAX_PLAN_TASKS): PendingTask[] {
    const { spec, state } = view.record;
    if (state !== 'active' || view.done + view.placed === spec.taskCount) return [];
    const now = this.clock.now();
    const list: PendingTask[] = [];
    const flying = this.inFlightTasks.get(view.jobId);
    const gang = spec.kind === 'gang';
    for (const taskIndex of view.queued) {
      if (list.length >= most && !gang) break;
      const placement = view.placementOf(taskIndex);
      const open = placement.kind === 'queued' && flying?.has(taskIndex) !== true;
      if (
        !open ||
        (placement.failures > 0 &&
          this.retryBackoff.isBackingOff(taskIdOf(view.jobId, taskIndex), placement.failures, now))
      ) {
        if (gang) return [];
        continue;
      }
      list.push({ view, taskIndex, placement });
    }
    return list;
  }

  private queuedJobs(): QueuedJob[] {
    const uses = this.teamUsages();
    const list: QueuedJob[] = [];
    const now = this.clock.wall();
    for (const view of this.clusterState.jobs.values()) {
      const { spec, state } = view.record;
      // A gang that is whole again has forgotten its last loss: the next one is told from it.
      if (view.done + view.placed === spec.taskCount) this.gangs.forget(view.jobId);
      if (state !== 'active' || view.done + view.placed === spec.taskCount) continue;
      const team = this.teams.get(spec.team);
      if (team === undefined) continue;
      const use = uses.get(spec.team) ?? { cpus: 0, gpus: 0 };
      const open = spec.taskCount - view.done - view.placed;
      const needS = this.runTimeRatios.expectedRunS(spec);
      list.push({
        record: view.record,
        isGuaranteed: isWithinGuarantee(team, use, spec),
        isFeasible: isFeasible(targetsOf(view.record, this.settings.cluster.serviceLevelObjectives), needS, now),
        remainingCpuS: open * spec.cpus * needS,
        isOverdue:
          spec.kind === 'array' && open === spec.taskCount && now - runnableSinceMs(view.record) > OVERDUE_START_MS,
        startByMs: startByOf(view.record, view.finishBy, needS),
      });
    }
    return list.sort(compareQueuedJobs);
  }

  private plan(): void {
    const leader = this.leadership.isLeader;
    const partitions = new Set(this.leadership.ledPartitions());
    if (!this.leadership.isInTouchWithStore || (!leader && partitions.size === 0) || this.inventory.catalog.size === 0)
      return;
    const queuedJobs = this.queuedJobs();
    if (queuedJobs.length === 0) {
      this.unplacedTasks = [];
      return;
    }
    const machines = this.inventory.openMachines();
    const rooms = this.freeResources(machines);
    const uses = this.teamUsages();
    const candidateIndex = new CandidateMachineIndex(machines, (machineId) => this.leadership.partitionOf(machineId));
    const unplaced: PendingTask[] = [];
    this.taskPlacer.beginPlan();
    for (const { record, isOverdue } of queuedJobs) {
      const { spec } = record;
      const partition = this.leadership.partitionOf(spec.id);
      const large = isPlacedByLeader(spec);
      const allowed = large ? candidateIndex.allowed(spec) : undefined;
      const split = large ? undefined : candidateIndex.split(spec, partition);
      // A full cluster is the usual case under load: only the leader needs to know who waits there.
      const full = allowed?.isFull(spec) ?? (split!.local.isFull(spec) && split!.remote.isFull(spec));
      if (full && !leader) continue;
      // Behind so many that wait already, a look at a few tells whether the job's tasks still fit somewhere.
      const whole = !isOverdue && (unplaced.length < MAX_UNPLACED || large);
      const most = whole ? MAX_PLAN_TASKS : SAMPLE_TASKS_OF_JOB;
      const waiting = this.pendingTasksOf(this.clusterState.jobs.get(spec.id)!, most);
      if (waiting.length === 0) continue;
      // Every node makes the whole plan and commits only what is its own: so it keeps the room that others will take, and
      // what is freed for a service does not go to the next batch task.
      if (allowed !== undefined) {
        this.place(waiting, allowed, rooms, uses, leader ? CLUSTER_LEADER_ROLE : undefined, unplaced);
        continue;
      }
      const { local, remote } = split!;
      const left: PendingTask[] = [];
      this.place(waiting, local, rooms, uses, partitions.has(partition) ? partitionRole(partition) : undefined, left);
      this.place(left, remote, rooms, uses, leader ? CLUSTER_LEADER_ROLE : undefined, unplaced);
    }
    if (leader) this.unplacedTasks = unplaced;
  }

  /**
   * Matches one job's waiting tasks to machines and commits what was found, or without a role only takes the room; the
   * rest is added to `left`.
   */
  private place(
    waiting: PendingTask[],
    candidates: CandidateMachines,
    rooms: Map<string, Resources>,
    uses: Map<string, TeamUsage>,
    role: string | undefined,
    left: PendingTask[],
  ): void {
    if (waiting.length === 0) return;
    const { view } = waiting[0]!;
    const { spec } = view.record;
    const team = this.teams.get(spec.team)!;
    const use = uses.get(spec.team) ?? { cpus: 0, gpus: 0 };
    uses.set(spec.team, use);
    const gang = spec.kind === 'gang';
    const attempt = gang ? this.gangs.attemptFor(view) : undefined;
    if (gang && attempt === undefined) return;
    // What the team's limit leaves room for; waiting for that is not a lack of machines.
    let allowed = 0;
    while (allowed < waiting.length && isWithinQuota(team, use, spec.cpus * (allowed + 1), spec.gpus * (allowed + 1))) {
      allowed++;
    }
    if (gang && allowed < waiting.length) return;
    const open = waiting.slice(0, allowed);
    const found = this.taskPlacer.find(
      open,
      candidates,
      rooms,
      spec.spreadAcrossZones || spec.singleZone ? this.zonesOfInFlight(spec.id) : [],
    );
    // A gang starts whole or not at all.
    if (found.size === 0 || (gang && found.size < waiting.length)) {
      left.push(...open);
      return;
    }
    const choices: Choice[] = [];
    for (const each of open) {
      const machine = found.get(taskIdOf(view.jobId, each.taskIndex));
      if (machine === undefined) {
        left.push(each);
        continue;
      }
      choices.push({ waiting: each, machine, attempt: attempt ?? each.placement.attempt + 1 });
      subtractResources(rooms.get(machine.machineId)!, spec);
      use.cpus += spec.cpus;
      use.gpus += spec.gpus;
    }
    if (choices.length > 0 && role !== undefined) this.commit(view, choices, role, team, gang);
  }

  /** Zones that a job's flying starts will take. */
  private zonesOfInFlight(jobId: string): string[] {
    const zones: string[] = [];
    if (!this.inFlightTasks.has(jobId)) return zones;
    for (const flight of this.inFlight.values()) {
      if (flight.spec.id === jobId) zones.push(flight.zone);
    }
    return zones;
  }

  private commit(view: JobView, choices: Choice[], role: string, team: Team, whole: boolean): void {
    // A gang starts whole or not at all, so its members share one transaction; others go by ledger chunk.
    const groups = new Map<number, Choice[]>();
    for (const choice of choices) {
      const key = whole ? 0 : Math.floor(choice.waiting.taskIndex / view.record.tasksPerChunk);
      groups.set(key, [...(groups.get(key) ?? []), choice]);
    }
    for (const group of groups.values()) {
      const names = group.map((choice) => taskIdOf(view.jobId, choice.waiting.taskIndex));
      for (const [at, choice] of group.entries()) {
        this.inFlight.set(names[at]!, {
          machineId: choice.machine.machineId,
          zone: choice.machine.zone,
          spec: view.record.spec,
        });
        const flying = this.inFlightTasks.get(view.jobId) ?? new Set();
        this.inFlightTasks.set(view.jobId, flying.add(choice.waiting.taskIndex));
      }
      const priority = startPriority(view.record.spec);
      void this.transactions
        .commit(
          'start',
          priority,
          (draft) => this.decide(draft, group, role, team, whole),
          5000,
          this.clusterState.batchingHintFor(view.jobId, group[0]!.waiting.taskIndex, team),
        )
        .then((outcome) => {
          const flying = this.inFlightTasks.get(view.jobId);
          for (const { waiting } of group) flying?.delete(waiting.taskIndex);
          if (flying?.size === 0) this.inFlightTasks.delete(view.jobId);
          for (const name of names) {
            this.inFlight.delete(name);
            if (outcome.kind === 'done') this.taskPlacer.forgetPreference(name);
          }
          if (outcome.kind === 'done') {
            const machineIds = [...new Set(group.map((choice) => choice.machine.machineId))];
            const cachedImageCount = group.filter(({ machine }) =>
              machine.images.includes(view.record.spec.image),
            ).length;
            this.log.debug(
              { jobId: view.jobId, role, taskCount: names.length, cachedImageCount, machineIds },
              'tasks placed',
            );
          }
          this.planSoon();
        });
    }
  }

  /**
   * Has the machine still room for all that flies there? A start waits for its turn at the store, and in the meantime another
   * node may have filled the machine: the worker would refuse the task, which costs two more changes and closes the machine.
   */
  private hasRoom(machine: MachineInfo): boolean {
    const room = this.freeResources([machine]).get(machine.machineId);
    return room !== undefined && isNonNegative(room);
  }

  private decide(draft: TransactionDraft, group: Choice[], role: string, team: Team, whole: boolean): boolean {
    if (!this.leadership.requireLeadership(draft, role)) return false;
    let started = 0;
    for (const { waiting, machine, attempt } of group) {
      // The machine may have begun a new session, or have gone silent, since the choice was made.
      const stale = this.inventory.agentEpochOf(machine.machineId) !== machine.agentEpoch || !this.hasRoom(machine);
      const why = stale
        ? 'machine changed'
        : startTask(draft, this.accounting, team, waiting.view.jobId, waiting.taskIndex, machine, attempt);
      if (why === undefined) started++;
      else if (whole) return false;
    }
    return started > 0;
  }

  async run(signal: AbortSignal): Promise<void> {
    this.signal = signal;
    while (!signal.aborted) {
      await this.clock.sleep(PLAN_TICK_MS, signal);
      this.planSoon();
    }
  }

  private round(): void {
    const began = this.clock.now();
    this.retryBackoff.prune(began);
    this.gangs.prune((jobId) => this.clusterState.jobs.has(jobId));
    this.plan();
    const now = this.clock.now();
    // Changes come by the dozen a second: a plan that takes long is made more rarely, and takes them together.
    this.restUntil = now + planRestMs(now - began, PLANNING_TIME_SHARE);
    this.urgentRestUntil = now + planRestMs(now - began, URGENT_PLANNING_TIME_SHARE);
  }
}

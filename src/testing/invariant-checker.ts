/**
 * Checks a scenario by the protocol's rules alone: by what ran on the machines and by what users were told. It knows nothing
 * of the product's records.
 */
import { PipelineChecker } from './pipeline-checker.js';
import { PlacementHistory } from './placement-history.js';
import { badField } from './submission-fields.js';

export type Rule =
  | 'ran_twice'
  | 'quota'
  | 'wrong_place'
  | 'ran_cancelled'
  | 'started_cancelled'
  | 'forgotten'
  | 'invented'
  | 'not_done'
  | 'went_back'
  | 'wrongly_accepted'
  | 'left_waiting'
  | 'too_early'
  | 'orphaned'
  | 'placed_twice'
  | 'older_token';

/** ms without an answer to any question about a job after which it counts as forgotten, once all troubles are over. */
const FORGOTTEN_MS = 75_000;
/** ms for which a job may wait while there is room for it, once all troubles are over. */
const WAITING_MS = 90_000;
/** Amounts are decimal numbers, so sums may be off by their last digits. */
const EPS = 1e-6;

export interface JobFields {
  Ref: string;
  Owner: string;
  Shape: 'array' | 'ensemble' | 'service';
  Shards: number;
  Cpus: number;
  Cards: number;
  MemGb: number;
  Flavors?: string[] | null;
  Site?: string | null;
  OneZone: boolean;
  Spread: boolean;
  Reclaimable: boolean;
  Awaits?: string[] | null;
}

export interface InvariantCheckerOptions {
  teams: readonly { name: string; cpus_max?: number; gpus_max?: number }[];
  flavors: readonly Record<string, unknown>[];
  cancelS: number;
}

interface Flavor {
  Sku: string;
  Cpus: number;
  Cards: number;
  MemGb: number;
  Sites: string[];
}

interface Machine {
  flavor: string;
  site: string;
  reclaimable: boolean;
  /** Can be reached and does not hang. */
  usable: boolean;
  /** A task failed there. */
  faulty: boolean;
}

interface Job {
  /** Undefined as long as every submission of it was malformed. */
  spec?: JobFields;
  /** Times of the first such answer that its user got. */
  acceptedAt?: number;
  doneAt?: number;
  cancelledAt?: number;
  /** When its user first asked to cancel it. */
  cancelAskedAt?: number;
  done: Set<number>;
  unansweredSince?: number;
  waitingSince?: number;
}

interface Run {
  host: string;
  shard: string;
  ref: string;
}

export interface UserAnswer {
  kind: 'submit' | 'poll' | 'withdraw';
  ref: string;
  askedAt: number;
  at: number;
  /** 0: none in time, or no connection. */
  status: number;
  body: unknown;
}

const refOf = (shard: string) => shard.slice(0, shard.lastIndexOf('/'));
const indexOf = (shard: string) => Number(shard.slice(shard.lastIndexOf('/') + 1));

export class InvariantChecker {
  /** Every rule that was broken, in the order of finding. */
  readonly broken: { rule: Rule; at: number; what: string }[] = [];
  /**
   * Starts after a confirmed cancellation whose command was on its way by then: allowed, as long as they end in time.
   */
  readonly lateStarts: string[] = [];
  private readonly told = new Set<string>();
  private readonly machines = new Map<string, Machine>();
  private readonly jobs = new Map<string, Job>();
  private readonly runs = new Set<Run>();
  private calmSince = Infinity;
  private readonly pipelines: PipelineChecker;
  /** Which launches workers carried out, over takeovers. */
  readonly placements = new PlacementHistory(
    (shard) => this.jobs.get(refOf(shard))?.spec?.Shape === 'ensemble',
    (rule, at, what) => this.breaks(rule, at, what),
  );

  constructor(private readonly options: InvariantCheckerOptions) {
    this.pipelines = new PipelineChecker((ref) => this.jobs.get(ref), options.cancelS * 1000);
  }

  /** What was broken, in words; empty if all is well. */
  verdict(at: number): string[] {
    this.look(at);
    return this.broken.map((each) => `${each.rule} at ${each.at}: ${each.what}`);
  }

  private breaks(rule: Rule, at: number, what: string): void {
    const key = `${rule} ${what}`;
    if (this.told.has(key)) return;
    this.told.add(key);
    this.broken.push({ rule, at, what });
  }

  private job(ref: string): Job {
    const known = this.jobs.get(ref);
    if (known !== undefined) return known;
    const job: Job = { done: new Set() };
    this.jobs.set(ref, job);
    return job;
  }

  private flavor(sku: string): Flavor | undefined {
    return this.options.flavors.find((each) => each.Sku === sku) as Flavor | undefined;
  }

  // What happens on machines.

  machineUp(host: string, machine: { flavor: string; site: string; reclaimable: boolean }): void {
    this.machines.set(host, { ...machine, usable: true, faulty: false });
  }

  /** Whether commands and answers reach it now. */
  machineUsable(host: string, usable: boolean): void {
    const machine = this.machines.get(host);
    if (machine !== undefined) machine.usable = usable;
  }

  /** The machine is gone, with all that was on it. */
  machineGone(at: number, host: string): void {
    for (const run of [...this.runs]) if (run.host === host) this.taskEnded(at, host, run.shard, 'gone');
    this.machines.delete(host);
  }

  /** A task is on a machine: it has its image. `orderedAt`: when the command that led to it was sent. */
  taskStarted(at: number, host: string, shard: string, orderedAt = at): void {
    const ref = refOf(shard);
    const job = this.job(ref);
    const { spec, cancelledAt } = job;
    for (const other of this.runs) {
      if (other.shard === shard) this.breaks('ran_twice', at, `${shard} starts on ${host} while on ${other.host}`);
    }
    if (cancelledAt !== undefined && at > cancelledAt) {
      const what = `${shard} on ${host}, ${at - cancelledAt} ms after its cancellation`;
      if (orderedAt > cancelledAt) this.breaks('started_cancelled', at, what);
      else this.lateStarts.push(what);
    }
    const open = this.pipelines.openPredecessor(job);
    if (open !== undefined) this.breaks('too_early', at, `${shard} on ${host}, before ${open} is done`);
    const machine = this.machines.get(host);
    if (spec !== undefined && machine !== undefined) {
      const why = this.whyWrongPlace(spec, machine);
      if (why !== undefined) this.breaks('wrong_place', at, `${shard} on ${host}: ${why}`);
    }
    this.runs.add({ host, shard, ref });
    job.waitingSince = undefined;
    if (spec === undefined) return;
    const why = this.whyOverLimit(spec, 0);
    if (why !== undefined) this.breaks('quota', at, `${shard}: ${why}`);
  }

  taskEnded(at: number, host: string, shard: string, cause: string): void {
    const job = this.job(refOf(shard));
    for (const run of this.runs) {
      if (run.host !== host || run.shard !== shard) continue;
      this.checkGone(at, run);
      this.runs.delete(run);
    }
    const machine = this.machines.get(host);
    if (machine !== undefined && cause === 'error') machine.faulty = true;
    if (cause !== 'done') return;
    job.done.add(indexOf(shard));
    // A gang completes together.
    if (job.spec?.Shape === 'ensemble') for (let index = 0; index < job.spec.Shards; index++) job.done.add(index);
  }

  /** Is a task of a cancelled job still on its machine when it should be gone? */
  private checkGone(at: number, run: Run): void {
    const { cancelledAt } = this.job(run.ref);
    if (cancelledAt === undefined || at - cancelledAt <= this.options.cancelS * 1000) return;
    this.breaks('ran_cancelled', at, `${run.shard} on ${run.host}, cancelled at ${cancelledAt}`);
  }

  private tasksOf(ref: string): Run[] {
    return [...this.runs].filter((run) => run.ref === ref);
  }

  private whyWrongPlace(spec: JobFields, machine: Machine): string | undefined {
    if (spec.Flavors?.includes(machine.flavor) === false) return `type ${machine.flavor}`;
    if ((spec.Site ?? machine.site) !== machine.site) return `zone ${machine.site}`;
    if (machine.reclaimable && !spec.Reclaimable) return 'a spot machine';
    const sites = this.tasksOf(spec.Ref).map((run) => this.machines.get(run.host)?.site);
    const other = sites.find((site) => site !== machine.site);
    if (spec.OneZone && other !== undefined) return `zone ${machine.site} beside tasks in ${other}`;
    const here = sites.filter((site) => site === machine.site).length;
    if (spec.Spread && here + 1 > Math.ceil(spec.Shards / 2)) return `${here + 1} tasks in zone ${machine.site}`;
    return undefined;
  }

  /** Would the job's team be over its limit with `more` of its tasks? */
  private whyOverLimit(spec: JobFields, more: number): string | undefined {
    const team = this.options.teams.find((each) => each.name === spec.Owner);
    let cpus = more * spec.Cpus;
    let cards = more * spec.Cards;
    for (const run of this.runs) {
      const other = this.jobs.get(run.ref)?.spec;
      if (other?.Owner !== spec.Owner) continue;
      cpus += other.Cpus;
      cards += other.Cards;
    }
    // 0 means no limit.
    const { cpus_max = 0, gpus_max = 0 } = team ?? {};
    if (cpus_max > 0 && spec.Cpus > 0 && cpus > cpus_max + EPS) return `${spec.Owner} uses ${cpus} CPUs`;
    if (gpus_max > 0 && spec.Cards > 0 && cards > gpus_max + EPS) return `${spec.Owner} uses ${cards} cards`;
    return undefined;
  }

  // What users ask and are told.

  /** A user sends a job, for the first time or again. */
  submitted(body: unknown): void {
    const ref = (body as { Ref?: unknown } | null)?.Ref;
    if (typeof ref !== 'string') return;
    const job = this.job(ref);
    if (badField(body) === undefined) job.spec ??= body as JobFields;
  }

  cancelAsked(at: number, ref: string): void {
    // A job that nobody has submitted stays unknown.
    const job = this.jobs.get(ref);
    if (job !== undefined) job.cancelAskedAt ??= at;
  }

  answered(answer: UserAnswer): void {
    const { kind, ref, askedAt, at, status } = answer;
    const job = this.jobs.get(ref);
    const phase = (answer.body as { Phase?: string } | undefined)?.Phase;
    const accepted = job?.acceptedAt !== undefined && job.acceptedAt < askedAt;
    if (status === 404 && accepted) this.breaks('forgotten', at, `${kind} of ${ref}: 404`);
    if (kind === 'submit' && (status === 400 || status === 422) && accepted) {
      this.breaks('forgotten', at, `${ref} submitted again: ${status}`);
    }
    if (kind === 'poll' && job?.acceptedAt !== undefined) this.noteSilence(job, answer);
    if (status !== 200 && status !== 201) return;
    if (job === undefined) return this.breaks('invented', at, `${kind} of ${ref}: ${phase}`);
    if (job.acceptedAt === undefined) {
      const why = this.whyNever(job.spec) ?? this.whyNeverReleased(job);
      if (why !== undefined) this.breaks('wrongly_accepted', at, `${ref}: ${why}`);
    }
    job.acceptedAt ??= at;
    this.takePhase(job, answer, phase);
  }

  private takePhase(job: Job, { kind, ref, askedAt, at }: UserAnswer, phase: string | undefined): void {
    const final = job.cancelledAt !== undefined ? 'withdrawn' : job.doneAt !== undefined ? 'done' : undefined;
    if (phase === 'done' || phase === 'withdrawn') {
      // Only one of the two is ever true, so it doesn't matter here who asked first.
      if (final !== undefined && final !== phase)
        this.breaks('went_back', at, `${kind} of ${ref}: ${phase}, was ${final}`);
    } else {
      const toldAt = job.cancelledAt ?? job.doneAt;
      if (toldAt !== undefined && toldAt < askedAt) {
        this.breaks('went_back', at, `${kind} of ${ref}: ${phase}, was ${final}`);
      }
      const orphanedForMs = this.pipelines.orphanedForMs(job, at);
      if (orphanedForMs !== undefined) {
        this.breaks(
          'orphaned',
          at,
          `${kind} of ${ref}: ${phase}, a job before it is cancelled for ${orphanedForMs} ms`,
        );
      }
    }
    if (phase === 'withdrawn') {
      if (job.cancelAskedAt === undefined && !this.pipelines.mayBeCancelled(job))
        this.breaks('went_back', at, `${ref} withdrawn, though not by its user`);
      job.cancelledAt ??= at;
    }
    if (phase === 'done') {
      const { spec } = job;
      const isDone = spec !== undefined && spec.Shape !== 'service' && job.done.size === spec.Shards;
      if (!isDone) this.breaks('not_done', at, `${ref}: ${job.done.size} of ${spec?.Shards} tasks are done`);
      job.doneAt ??= at;
    }
  }

  private noteSilence(job: Job, { ref, askedAt, at, status }: UserAnswer): void {
    if (status === 200 || status === 404) {
      job.unansweredSince = undefined;
      return;
    }
    job.unansweredSince ??= askedAt;
    if (at - Math.max(job.unansweredSince, this.calmSince) < FORGOTTEN_MS) return;
    this.breaks('forgotten', at, `no question about ${ref} was answered`);
  }

  private whyNeverReleased(job: Job): string | undefined {
    const unknown = this.pipelines.unknownPredecessor(job);
    return unknown === undefined ? undefined : `needs ${unknown}, which nobody has submitted`;
  }

  /** Why a job can never run, or is malformed. */
  private whyNever(spec: JobFields | undefined): string | undefined {
    if (spec === undefined) return 'a field is missing or invalid';
    const { Owner, Shape, Shards, Cpus, Cards, MemGb, Site } = spec;
    const team = this.options.teams.find((each) => each.name === Owner);
    if (team === undefined) return 'unknown team';
    const fits = (this.options.flavors as unknown as Flavor[]).some(
      (each) =>
        spec.Flavors?.includes(each.Sku) !== false &&
        each.Sites.includes(Site ?? each.Sites[0]!) &&
        Cpus <= each.Cpus &&
        Cards <= each.Cards &&
        MemGb <= each.MemGb,
    );
    if (!fits) return 'fits no allowed machine type';
    const tasks = Shape === 'array' ? 1 : Shards;
    const { cpus_max = 0, gpus_max = 0 } = team;
    if (cpus_max > 0 && Cpus * tasks > cpus_max + EPS) return "more CPUs than its team's limit";
    if (gpus_max > 0 && Cards * tasks > gpus_max + EPS) return "more cards than its team's limit";
    return undefined;
  }

  // What is broken by nothing happening.

  /** From now on no trouble excuses silence or waiting. */
  troublesOver(at: number): void {
    this.calmSince = at;
  }

  /** To be called every second or so, and at the end. */
  look(at: number): void {
    for (const run of this.runs) this.checkGone(at, run);
    if (at < this.calmSince) return;
    for (const [ref, job] of this.jobs) {
      if (!this.hasRoom(job)) {
        job.waitingSince = undefined;
        continue;
      }
      job.waitingSince ??= at;
      if (at - Math.max(job.waitingSince, this.calmSince) < WAITING_MS) continue;
      this.breaks('left_waiting', at, `${ref}, though there is room`);
    }
  }

  /** Does a task of the job (of a gang: all that are missing) wait that could start at once? */
  private hasRoom(job: Job): boolean {
    const { spec, acceptedAt, cancelAskedAt, done } = job;
    if (spec === undefined || acceptedAt === undefined || cancelAskedAt !== undefined) return false;
    if (this.pipelines.openPredecessor(job) !== undefined || this.pipelines.isCancelled(job)) return false;
    const on = this.tasksOf(spec.Ref);
    const missing = spec.Shards - done.size - new Set(on.map((run) => run.shard)).size;
    if (missing <= 0) return false;
    const needed = spec.Shape === 'ensemble' ? missing : 1;
    if (this.whyOverLimit(spec, needed) !== undefined) return false;
    const slots = new Map<string, number>();
    for (const [host, machine] of this.machines) {
      if (!machine.usable || machine.faulty || this.whyWrongPlace(spec, machine) !== undefined) continue;
      slots.set(machine.site, (slots.get(machine.site) ?? 0) + this.slotsOn(host, machine, spec));
    }
    const half = Math.ceil(spec.Shards / 2);
    const counts = [...slots].map(([site, count]) => {
      const here = on.filter((run) => this.machines.get(run.host)?.site === site).length;
      return spec.Spread ? Math.min(count, half - here) : count;
    });
    const room = spec.OneZone ? Math.max(0, ...counts) : counts.reduce((a, b) => a + b, 0);
    return room >= needed;
  }

  /** How many more tasks of that size the machine holds. */
  private slotsOn(host: string, machine: Machine, spec: JobFields): number {
    const flavor = this.flavor(machine.flavor);
    if (flavor === undefined) return 0;
    const free = { Cpus: flavor.Cpus, Cards: flavor.Cards, MemGb: flavor.MemGb };
    const amounts = ['Cpus', 'Cards', 'MemGb'] as const;
    for (const run of this.runs) {
      const other = run.host === host ? this.jobs.get(run.ref)?.spec : undefined;
      if (other !== undefined) for (const amount of amounts) free[amount] -= other[amount];
    }
    const counts = amounts.filter((amount) => spec[amount] > 0).map((amount) => (free[amount] + EPS) / spec[amount]);
    return Math.max(0, Math.floor(Math.min(...counts)));
  }
}

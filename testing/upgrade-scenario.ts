/**
 * Upgrade scenarios: processes are upgraded to the current version in random order, while users submit and cancel jobs
 * and faults occur; then pipelines are submitted, the store's limits shrink, and more faults occur.
 */
import fc from 'fast-check';

import { Random } from '../src/net/random.js';
import { Cluster } from './cluster.js';
import { faultDurationMs, FaultInjector } from './fault-injector.js';
import { jobOf } from './fixtures.js';
import type { ProgramVersion } from './program-version.js';
import { FAULT_WINDOW_MS, MACHINES, NODES, type ScheduledFault, smallScenarioFault, ZONES } from './random-schedule.js';
import type { Submission } from './submission-wire-codec.js';

/** The order and times of an upgrade, and the faults around it. */
export interface UpgradeSchedule {
  seed: number;
  /** The nodes in the order of their upgrades, and the pause before each, ms. */
  order: number[];
  gapsMs: number[];
  /** Faults during the upgrade, and after it. */
  during: ScheduledFault[];
  after: ScheduledFault[];
  /** ms after the upgrade at which the store's limits shrink. */
  shrinkMs: number;
  /** ms after the upgrade at which users cancel one job each. */
  cancelsMs: number[];
}

const gapMs = fc.integer({ min: 500, max: 8000 });

const schedules: fc.Arbitrary<UpgradeSchedule> = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  order: fc.shuffledSubarray([0, 1, 2], { minLength: NODES, maxLength: NODES }),
  gapsMs: fc.array(gapMs, { minLength: NODES, maxLength: NODES }),
  during: fc.array(smallScenarioFault, { minLength: 0, maxLength: 2 }),
  after: fc.array(smallScenarioFault, { minLength: 1, maxLength: 3 }),
  shrinkMs: fc.integer({ min: 0, max: FAULT_WINDOW_MS }),
  cancelsMs: fc.array(fc.integer({ min: 0, max: FAULT_WINDOW_MS }), { minLength: 1, maxLength: 5 }),
});

/** The schedule generated from a seed. */
export const upgradeScheduleOf = (seed: number): UpgradeSchedule => fc.sample(schedules, { seed, numRuns: 1 })[0]!;

const READY_MS = 6000;
const OBSERVATION_MS = 130_000;
/** Period of the rounds of submissions. */
const ROUND_MS = 7000;
const TASK_RUN_MS = [3000, 8000, 30_000];
const CURRENT_STORE_LIMITS = { rps: 500, write_rps: 60, value_kb: 4, txn_ops: 12 };
const NEXT_STORE_LIMITS = { write_rps: 40, value_kb: 2, txn_ops: 4 };

class UpgradeScenario {
  private readonly cluster: Cluster;
  private readonly random: Random;
  private readonly faults: FaultInjector;
  private submitted = 0;

  /** `previousVersion`: the version before the upgrade; undefined: no upgrade, the current version throughout. */
  constructor(
    private readonly schedule: UpgradeSchedule,
    private readonly previousVersion: ProgramVersion | undefined,
  ) {
    this.cluster = new Cluster({
      nodes: NODES,
      teams: [
        { name: 'red', cpus: 8, cpus_max: 24 },
        { name: 'blue', cpus: 16 },
      ],
      cluster: { state: { ...CURRENT_STORE_LIMITS, next: NEXT_STORE_LIMITS } },
      bootMs: 4000,
      runMs: TASK_RUN_MS[0]!,
      ...(previousVersion === undefined ? {} : { version: previousVersion }),
    });
    this.random = new Random(schedule.seed);
    this.faults = new FaultInjector(this.cluster, (count) => this.cancelJobs(count));
    this.cluster.store.limits = limitsOf(CURRENT_STORE_LIMITS);
  }

  /** Plays the scenario and describes the violated rules, if any. */
  async play(): Promise<string[]> {
    const { cluster, schedule } = this;
    for (let n = 0; n < MACHINES; n++) {
      const runMs = Math.round(this.random.jitter(TASK_RUN_MS[this.random.intBelow(TASK_RUN_MS.length)]!));
      cluster.addWorker({ machineId: `i-${String(n).padStart(6, '0')}`, zone: ZONES[n % 3]!, runMs });
    }
    await cluster.advance(READY_MS);
    if (this.previousVersion !== undefined) await this.upgrade();
    this.submitInRounds(() => this.submitPipelines());
    cluster.clock.after(schedule.shrinkMs, () => {
      cluster.store.limits = limitsOf(NEXT_STORE_LIMITS);
    });
    for (const ms of schedule.cancelsMs) cluster.clock.after(ms, () => this.cancelJobs(1));
    await this.injectFaults(schedule.after);
    cluster.checker.faultsEnded(cluster.clock.now());
    await cluster.advance(OBSERVATION_MS);
    return this.verdict();
  }

  private verdict(): string[] {
    const { cluster } = this;
    const hasNoJobs = cluster.users.jobs.size === 0;
    const { tooLargeCount } = cluster.store;
    return [
      ...cluster.stopAndCheck(),
      ...(hasNoJobs ? ['no job was accepted'] : []),
      ...(tooLargeCount > 0 ? [`${tooLargeCount} transactions were too large for the store`] : []),
    ];
  }

  private async upgrade(): Promise<void> {
    this.submitInRounds(() => this.submitJobs());
    const upgraded = this.upgradeNodes();
    await this.injectFaults(this.schedule.during);
    // The fake clock has to be advanced until the upgrade is complete.
    await this.cluster.advanceUntilSettled(upgraded, 0);
  }

  private async upgradeNodes(): Promise<void> {
    const { cluster, schedule } = this;
    for (const [turn, node] of schedule.order.entries()) {
      await cluster.clock.sleep(schedule.gapsMs[turn]!);
      cluster.upgrade(node);
      if (cluster.isUp(node)) cluster.crash(node);
      await cluster.clock.sleep(this.random.jitter(1500));
      if (!cluster.isUp(node)) cluster.start(node);
    }
  }

  /** Injects faults and waits until they have ended. */
  private async injectFaults(faults: readonly ScheduledFault[]): Promise<void> {
    const { cluster } = this;
    let lastMs = FAULT_WINDOW_MS;
    for (const fault of faults) {
      lastMs = Math.max(lastMs, fault.atMs + faultDurationMs(fault));
      cluster.clock.after(fault.atMs, () => void this.faults.inject(fault));
    }
    await cluster.advance(lastMs + 1);
  }

  private submitInRounds(submit: () => void): void {
    for (let ms = 1; ms <= FAULT_WINDOW_MS; ms += ROUND_MS) this.cluster.clock.after(ms, submit);
  }

  /** Submits a job, and returns its id once the submission has been answered. */
  private async submit(fields: Partial<Submission>): Promise<string> {
    const id = `j-${String(this.submitted++).padStart(6, '0')}`;
    const team = this.random.float() < 0.5 ? 'red' : 'blue';
    await this.cluster.users.submit(jobOf({ id, team, ...fields }));
    return id;
  }

  private submitJobs(): void {
    void this.submit({
      kind: 'service',
      priority: 'prod',
      estimatedRunS: 0,
      taskCount: 3,
      spreadAcrossZones: true,
      team: 'blue',
    });
    void this.submit({ kind: 'gang', priority: 'high', taskCount: 2, singleZone: true });
    // Its placement record is larger than the store's later limits allow.
    void this.submit({ taskCount: 64, cpus: 0.1, memoryGb: 0.1, machineTypes: ['c8'], image: 'i'.repeat(100) });
    void this.submit({ taskCount: 1 + this.random.intBelow(4), priority: 'low' });
  }

  private submitPipelines(): void {
    this.submitJobs();
    void this.submitPipeline();
  }

  /** Submits each job of a pipeline as soon as its dependencies are accepted. */
  private async submitPipeline(): Promise<void> {
    const first = await this.submit({ taskCount: 2, priority: 'low', estimatedRunS: 4 });
    const middle = await Promise.all([
      this.submit({ dependencies: [first], priority: 'low' }),
      this.submit({ dependencies: [first], taskCount: 3, priority: 'normal' }),
    ]);
    const gang = await this.submit({ dependencies: middle, kind: 'gang', taskCount: 2, singleZone: true });
    await this.submit({ dependencies: [gang, first], priority: 'high', deadlineS: 60 });
  }

  /** Users cancel some jobs that, to their knowledge, have not ended. */
  private cancelJobs(count: number): void {
    const open = [...this.cluster.users.jobs].filter(([, { state }]) => state === 'queued' || state === 'running');
    for (const [jobId] of this.random.sample(open, count)) void this.cluster.users.cancelJob(jobId);
  }
}

const BYTES_PER_KB = 1024;

const limitsOf = ({ value_kb, txn_ops, write_rps }: typeof NEXT_STORE_LIMITS) => ({
  valueBytes: value_kb * BYTES_PER_KB,
  transactionWrites: txn_ops,
  writesPerSecond: write_rps,
});

/** Plays an upgrade scenario and describes the violated rules, if any. */
export const playUpgrade = (schedule: UpgradeSchedule, previousVersion?: ProgramVersion): Promise<string[]> =>
  new UpgradeScenario(schedule, previousVersion).play();

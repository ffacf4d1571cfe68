/** Randomized scenarios: a cluster under load with random faults and cancellations, under the invariant checker. */
import { Random } from '../src/net/random.js';
import { Cluster } from './cluster.js';
import { faultDurationMs, FaultInjector } from './fault-injector.js';
import { jobOf } from './fixtures.js';
import { FAULT_WINDOW_MS, MACHINES, NODES, type Schedule, ZONES } from './random-schedule.js';
import type { Submission } from './submission-wire-codec.js';

/** Time until the cluster is up, and time that the invariant checker observes it after the faults. */
const READY_MS = 6000;
const OBSERVATION_MS = 100_000;
/**
 * Durations of tasks, by machine: the shorter ones end while the faults last, the longest outlasts the time within
 * which a cancellation must stop a task.
 */
const TASK_RUN_MS = [4000, 12_000, 60_000];

class RandomizedScenario {
  private readonly cluster = new Cluster({
    nodes: NODES,
    teams: [
      { name: 'red', cpus: 8, cpus_max: 16 },
      { name: 'blue', cpus: 16 },
    ],
    bootMs: 4000,
    runMs: TASK_RUN_MS[0]!,
  });
  private readonly random: Random;
  private readonly faults: FaultInjector;
  private submitted = 0;

  constructor(private readonly schedule: Schedule) {
    this.random = new Random(schedule.seed);
    this.faults = new FaultInjector(this.cluster, (count) => this.cancelJobs(count));
  }

  /** Plays the scenario and describes the violated rules, if any. */
  async play(): Promise<string[]> {
    const { cluster, schedule } = this;
    const { clock } = cluster;
    const { machines = MACHINES, settleMs = READY_MS } = schedule;
    for (let n = 0; n < machines; n++) {
      const runMs = Math.round(this.random.jitter(TASK_RUN_MS[this.random.intBelow(TASK_RUN_MS.length)]!));
      cluster.addWorker({ machineId: `i-${String(n).padStart(6, '0')}`, zone: ZONES[n % 3]!, runMs });
    }
    await cluster.advance(settleMs);
    this.submitJobs();
    for (let ms = 4000; ms <= FAULT_WINDOW_MS; ms += 8000) clock.after(ms, () => this.submitJobs());
    for (const { fault, afterMs } of schedule.cancels) {
      const { atMs } = schedule.faults[fault % schedule.faults.length]!;
      clock.after(atMs + afterMs, () => this.cancelJobs(1));
    }
    let lastMs = FAULT_WINDOW_MS;
    for (const fault of schedule.faults) {
      lastMs = Math.max(lastMs, fault.atMs + faultDurationMs(fault));
      clock.after(fault.atMs, () => void this.faults.inject(fault));
    }
    await cluster.advance(lastMs + 1);
    cluster.checker.faultsEnded(clock.now());
    await cluster.advance(OBSERVATION_MS);
    const violations = cluster.stopAndCheck();
    return cluster.users.jobs.size > 0 ? violations : [...violations, 'no job was accepted'];
  }

  private submitJobs(): void {
    const submit = (fields: Partial<Submission>) => {
      const id = `j-${String(this.submitted++).padStart(6, '0')}`;
      void this.cluster.users.submit(jobOf({ id, team: this.random.float() < 0.5 ? 'red' : 'blue', ...fields }));
    };
    // Only one service belongs to the team with a limit: more would leave no room under it for jobs that end.
    const team = this.submitted === 0 ? 'red' : 'blue';
    submit({ kind: 'service', priority: 'prod', estimatedRunS: 0, taskCount: 3, spreadAcrossZones: true, team });
    submit({ kind: 'gang', priority: 'high', taskCount: 3, cpus: 3, singleZone: this.random.float() < 0.5 });
    submit({ taskCount: 1 + this.random.intBelow(4), singleZone: this.random.float() < 0.3 });
    submit({ taskCount: 2, zone: ZONES[this.random.intBelow(3)], priority: 'low' });
    // Several jobs of a team at its limit, submitted to all nodes at once.
    for (let n = 0; n < 3; n++) submit({ taskCount: 1 + this.random.intBelow(3), team: 'red' });
  }

  /** Users cancel some jobs that, to their knowledge, have not ended. */
  private cancelJobs(count: number): void {
    const open = [...this.cluster.users.jobs].filter(([, { state }]) => state === 'queued' || state === 'running');
    for (const [jobId] of this.random.sample(open, count)) void this.cluster.users.cancelJob(jobId);
  }
}

/** Plays a randomized scenario and describes the violated rules, if any. */
export const playRandomized = (schedule: Schedule): Promise<string[]> => new RandomizedScenario(schedule).play();

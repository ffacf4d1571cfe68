/** Scenarios with random faults: a cluster under load, users who cancel, and the verdict of the invariant checker. */
import { Random } from '../src/net/random.js';
import { Cluster } from './cluster.js';
import { FaultInjector, lastsMs } from './fault-injector.js';
import { jobOf } from './fixtures.js';
import { FAULT_WINDOW_MS, MACHINES, NODES, type Schedule, ZONES } from './random-schedule.js';
import type { Submission } from './submission-wire-codec.js';

/** ms until the cluster is up, and for which the invariant checker watches after the faults. */
const READY_MS = 6000;
const CALM_MS = 100_000;
/** How long tasks run on a machine: they end while the faults last, or only when a cancellation must have stopped them. */
const RUNS_MS = [4000, 12_000, 60_000];

class RandomizedScenario {
  private readonly cluster = new Cluster({
    nodes: NODES,
    teams: [
      { name: 'red', cpus: 8, cpus_max: 16 },
      { name: 'blue', cpus: 16 },
    ],
    bootMs: 4000,
    runMs: RUNS_MS[0]!,
  });
  private readonly random: Random;
  private readonly faults: FaultInjector;
  private submitted = 0;

  constructor(private readonly schedule: Schedule) {
    this.random = new Random(schedule.seed);
    this.faults = new FaultInjector(this.cluster, (count) => this.cancelSome(count));
  }

  /** Which rules were broken, if any. */
  async play(): Promise<string[]> {
    const { cluster, schedule } = this;
    const { clock } = cluster;
    const { machines = MACHINES, settleMs = READY_MS } = schedule;
    for (let n = 0; n < machines; n++) {
      const runMs = Math.round(this.random.jitter(RUNS_MS[this.random.below(RUNS_MS.length)]!));
      cluster.addWorker({ machineId: `i-${String(n).padStart(6, '0')}`, zone: ZONES[n % 3]!, runMs });
    }
    await cluster.advance(settleMs);
    this.submitSome();
    for (let ms = 4000; ms <= FAULT_WINDOW_MS; ms += 8000) clock.after(ms, () => this.submitSome());
    for (const { fault, afterMs } of schedule.cancels) {
      const { atMs } = schedule.faults[fault % schedule.faults.length]!;
      clock.after(atMs + afterMs, () => this.cancelSome(1));
    }
    let lastMs = FAULT_WINDOW_MS;
    for (const fault of schedule.faults) {
      lastMs = Math.max(lastMs, fault.atMs + lastsMs(fault));
      clock.after(fault.atMs, () => void this.faults.inject(fault));
    }
    await cluster.advance(lastMs + 1);
    cluster.checker.faultsEnded(clock.now());
    await cluster.advance(CALM_MS);
    const broken = cluster.verdict();
    return cluster.users.jobs.size > 0 ? broken : [...broken, 'no job was accepted'];
  }

  private submitSome(): void {
    const job = (fields: Partial<Submission>) => {
      const id = `j-${String(this.submitted++).padStart(6, '0')}`;
      void this.cluster.users.submit(jobOf({ id, team: this.random.float() < 0.5 ? 'red' : 'blue', ...fields }));
    };
    // One service is of the team with a limit: more would leave no room under it for what ends.
    const team = this.submitted === 0 ? 'red' : 'blue';
    job({ kind: 'service', priority: 'prod', estimatedRunS: 0, taskCount: 3, spreadAcrossZones: true, team });
    job({ kind: 'gang', priority: 'high', taskCount: 3, cpus: 3, singleZone: this.random.float() < 0.5 });
    job({ taskCount: 1 + this.random.below(4), singleZone: this.random.float() < 0.3 });
    job({ taskCount: 2, zone: ZONES[this.random.below(3)], priority: 'low' });
    // They come to all nodes at once, and their team is at its limit.
    for (let n = 0; n < 3; n++) job({ taskCount: 1 + this.random.below(3), team: 'red' });
  }

  /** Users cancel jobs that are not over, as far as they know. */
  private cancelSome(count: number): void {
    const open = [...this.cluster.users.jobs].filter(([, { state }]) => state === 'queued' || state === 'running');
    for (const [jobId] of this.random.sample(open, count)) void this.cluster.users.cancelJob(jobId);
  }
}

/** Plays a scenario and tells which rules were broken in it. */
export const play = (schedule: Schedule): Promise<string[]> => new RandomizedScenario(schedule).play();

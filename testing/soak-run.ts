/** One soak run: a cluster of real processes, users, and a schedule of faults; checked from outside. */
import { hashName } from '../src/domain/role.js';
import { unreferencedClock } from './loopback-clock.js';
import { LoopbackCluster } from './loopback-cluster.js';
import { SoakFaults } from './soak-faults.js';
import { SoakLoad } from './soak-load.js';
import type { SoakSchedule } from './soak-schedule.js';

/** By the protocol a job counts as forgotten if no question about it is answered for so long after the last fault. */
const MAX_UNANSWERED_MS = 75_000;
const NODES = 3;
const RUN_MS = 4000;
const FIRST_START_LIMIT_MS = 60_000;
const LOAD_BEFORE_FAULTS_MS = 3000;
const CHECK_PERIOD_MS = 1000;
const SHORT_TIMINGS = { heartbeatS: 1, leaseS: 10, cancelS: 36 };

/** Machines and tasks are divided into so many parts, of which a share fails. */
const FAILING_PARTS = 100;

/** The outcome of a run. */
export interface SoakResult {
  violations: string[];
  /** The lines of all processes, for a run with violations. */
  logLines: string[];
  acceptedCount: number;
  /** ms from the end of the last fault until every accepted job was answered. */
  allAnsweredMs: number;
}

/** Plays the schedule on a cluster of that many machines. */
export async function playSoak(
  { seed, faults, failingShare = 0 }: SoakSchedule,
  machines: number,
): Promise<SoakResult> {
  const cluster = new LoopbackCluster({
    ...{ nodes: NODES, machines, tuning: 'deploy/tuning.toml', runMs: RUN_MS, timings: SHORT_TIMINGS, seed },
    failsTask: (machineId, taskId) => hashName(`${machineId} ${taskId}`) % FAILING_PARTS < failingShare * FAILING_PARTS,
  });
  const violations: string[] = [];
  const load = new SoakLoad(cluster, unreferencedClock);
  let allAnsweredMs = Infinity;
  const checks = setInterval(() => cluster.checker.checkNow(unreferencedClock.now()), CHECK_PERIOD_MS);
  try {
    await cluster.start();
    await cluster.until(() => cluster.claimOf('leader') !== undefined, 'a leader', FIRST_START_LIMIT_MS);
    void load.submitJobs();
    await unreferencedClock.sleep(LOAD_BEFORE_FAULTS_MS);
    await new SoakFaults(cluster, NODES, unreferencedClock).play(faults);
    allAnsweredMs = await untilAnswered(cluster, load);
    await cluster.until(() => cluster.checker.areCancelledTasksGone, 'cancelled tasks end', MAX_UNANSWERED_MS);
  } catch (error) {
    violations.push(error instanceof Error ? error.message : String(error));
  } finally {
    clearInterval(checks);
    for (const { node, reason } of cluster.processes.unexpectedExits) violations.push(`n${node} ended: ${reason}`);
    violations.push(...cluster.stop());
  }
  const logLines = cluster.processes.logLines.map(({ at, node, text }) => `${Math.round(at)} n${node} ${text}`);
  return { violations, logLines, acceptedCount: load.acceptedCount, allAnsweredMs };
}

/** Returns after how many ms without faults all accepted jobs have been answered; throws if it takes too long. */
async function untilAnswered(cluster: LoopbackCluster, load: SoakLoad): Promise<number> {
  const endedAt = unreferencedClock.now();
  cluster.checker.faultsEnded(endedAt);
  load.endSubmissions();
  await cluster.until(() => load.isSubmissionOver, 'submissions are answered', MAX_UNANSWERED_MS);
  await cluster.until(() => load.unansweredSince(endedAt).length === 0, 'all jobs are answered', MAX_UNANSWERED_MS);
  return unreferencedClock.now() - endedAt;
}

/**
 * Measures takeovers between real processes: `npm run takeovers-loopback -- COUNT [TUNING]`. The leader is killed,
 * frozen and terminated COUNT times each, under load. Prints each time, then the median, the 95th percentile and the
 * maximum.
 */
import { loadavg } from 'node:os';

import { LoopbackCluster } from './loopback-cluster.js';
import { type LoopbackLoss, type LoopbackTimes, loseLeader, submitUntil } from './loopback-takeover.js';

const JOB_PERIOD_MS = 250;
const LOSSES: LoopbackLoss[] = ['kill', 'freeze', 'terminate'];

const count = Number(process.argv[2] ?? '30');
const tuning = process.argv[3] ?? 'deploy/tuning.toml';

function describe(timesMs: readonly number[]): string {
  const sorted = [...timesMs].sort((a, b) => a - b);
  const percentile = (share: number) =>
    Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))]!);
  return `median ${percentile(0.5)}, 95th percentile ${percentile(0.95)}, maximum ${Math.round(sorted.at(-1)!)}`;
}

const cluster = new LoopbackCluster({ nodes: 3, machines: 12, tuning, runMs: 2000 });
await cluster.start();
const load = new AbortController();
const submitting = submitUntil(cluster, JOB_PERIOD_MS, load.signal);
for (const loss of LOSSES) {
  const times: LoopbackTimes[] = [];
  for (let n = 0; n < count; n++) {
    const each = await loseLeader(cluster, loss);
    times.push(each);
    console.log(`${loss} ${n}: claimed ${Math.round(each.claimedMs)} ms, decided ${Math.round(each.decidedMs)} ms`);
  }
  console.log(`${tuning} ${loss}, ${count} times, load average ${loadavg()[0]!.toFixed(1)}`);
  console.log(`  claimed: ${describe(times.map(({ claimedMs }) => claimedMs))}`);
  console.log(`  decided: ${describe(times.map(({ decidedMs }) => decidedMs))}`);
}
load.abort();
await submitting;
const violations = cluster.stop();
console.log(violations.length === 0 ? 'nothing was placed twice, no rule was broken' : violations.join('\n'));
process.exitCode = violations.length === 0 ? 0 : 1;

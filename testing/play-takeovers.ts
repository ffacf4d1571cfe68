/**
 * Measures takeovers in an in-memory cluster: `npm run takeovers -- TRIALS [standby]`; `standby` switches the warm
 * standby on. Prints the median and the maximum of each step, ms from the loss of the role.
 */
import {
  type MeasuredRole,
  measureTakeover,
  type RoleLoss,
  type TakeoverTimes,
  type Trial,
} from './takeover-measurement.js';

const OFFSET_RANGE_MS = 800;
const STEPS = ['detected', 'claimed', 'copied', 'answered', 'decided'] as const;
const LOSSES: RoleLoss[] = ['kill', 'freeze', 'store partition', 'terminate'];
const ROLES: MeasuredRole[] = ['leader', 'partition'];

const trials = Number(process.argv[2] ?? '5');
const standby = process.argv[3] === 'standby' ? { enabled: true, follow: true } : {};

function summarize(all: readonly TakeoverTimes[], step: keyof TakeoverTimes): string {
  const reached = all.flatMap((times) => times[step] ?? []).sort((a, b) => a - b);
  if (reached.length === 0) return 'none';
  const missing = reached.length < all.length ? ` (${reached.length} of ${all.length})` : '';
  return `${reached[Math.floor(reached.length / 2)]} / ${reached.at(-1)}${missing}`;
}

let failed = false;

/** Measures one kind of loss `trials` times, at evenly spaced offsets against the heartbeats. */
async function measureAll(kind: Omit<Trial, 'offsetMs'>): Promise<TakeoverTimes[]> {
  const all: TakeoverTimes[] = [];
  for (let n = 0; n < trials; n++) {
    const offsetMs = Math.round((n * OFFSET_RANGE_MS) / trials);
    const { times, violations } = await measureTakeover({ ...kind, offsetMs }, { standby });
    all.push(times);
    if (violations.length > 0) console.log(`  rules broken: ${violations.join('; ')}`);
    failed ||= violations.length > 0;
  }
  return all;
}

console.log(`| role | loss | load | ${STEPS.join(' | ')} |`);
for (const role of ROLES) {
  for (const loss of LOSSES) {
    for (const load of [false, true]) {
      const all = await measureAll({ role, loss, load });
      const cells = STEPS.map((step) => summarize(all, step));
      console.log(`| ${role} | ${loss} | ${load ? 'jobs' : 'idle'} | ${cells.join(' | ')} |`);
    }
  }
}
process.exitCode = failed ? 1 : 0;

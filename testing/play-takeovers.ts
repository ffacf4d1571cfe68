/**
 * Measures takeovers on stand-ins: `npm run takeovers -- TRIALS [standby]`; with `standby` the warm standby is on. Prints the
 * median and the maximum of each step, ms from the loss of the role.
 */
import {
  type Loss,
  type MeasuredRole,
  measureTakeover,
  type TakeoverTimes,
  type Trial,
} from './takeover-measurement.js';

const HEARTBEAT_SPAN_MS = 800;
const STEPS = ['detected', 'claimed', 'copied', 'answered', 'decided'] as const;
const LOSSES: Loss[] = ['kill', 'freeze', 'store partition', 'terminate'];
const ROLES: MeasuredRole[] = ['leader', 'partition'];

const trials = Number(process.argv[2] ?? '5');
const standby = process.argv[3] === 'standby' ? { enabled: true, follow: true } : {};

function summarize(all: readonly TakeoverTimes[], step: keyof TakeoverTimes): string {
  const known = all.flatMap((times) => times[step] ?? []).sort((a, b) => a - b);
  if (known.length === 0) return 'none';
  const missing = known.length < all.length ? ` (${known.length} of ${all.length})` : '';
  return `${known[Math.floor(known.length / 2)]} / ${known.at(-1)}${missing}`;
}

let failed = false;

/** Measures one kind of loss at `trials` moments between two heartbeats. */
async function measureAll(kind: Omit<Trial, 'offsetMs'>): Promise<TakeoverTimes[]> {
  const all: TakeoverTimes[] = [];
  for (let n = 0; n < trials; n++) {
    const offsetMs = Math.round((n * HEARTBEAT_SPAN_MS) / trials);
    const { times, broken } = await measureTakeover({ ...kind, offsetMs }, { standby });
    all.push(times);
    if (broken.length > 0) console.log(`  rules broken: ${broken.join('; ')}`);
    failed ||= broken.length > 0;
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

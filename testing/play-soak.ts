/**
 * Plays randomized faults on real processes over loopback: `npm run soak -- SEEDS FIRST [WORKERS]` plays the seeds FIRST
 * to FIRST + SEEDS - 1. A run that fails prints its seed, its schedule and the logs of all processes.
 */
import { ArgumentError, argumentsOrExit, positiveInteger } from './positive-integer.js';
import { playSoak } from './soak-run.js';
import { soakScheduleOf } from './soak-schedule.js';

const NODES = 3;
const DEFAULT_WORKERS = '12';
const MAX_ARGUMENTS = 3;

const { seeds, first, workers } = argumentsOrExit(() => {
  const [seedsText = '', firstText = '', workersText = DEFAULT_WORKERS, ...unknown] = process.argv.slice(2);
  if (unknown.length > 0) throw new ArgumentError(`more than ${MAX_ARGUMENTS} arguments: ${unknown.join(' ')}`);
  return {
    seeds: positiveInteger('SEEDS', seedsText),
    first: positiveInteger('FIRST', firstText),
    workers: positiveInteger('WORKERS', workersText),
  };
});

let failedCount = 0;
for (let seed = first; seed < first + seeds; seed++) {
  const schedule = soakScheduleOf(seed, NODES);
  const { violations, logLines, acceptedCount, allAnsweredMs } = await playSoak(schedule, workers);
  console.log(`seed ${seed}: ${acceptedCount} jobs, all answered ${Math.round(allAnsweredMs)} ms after the last fault`);
  if (violations.length === 0) continue;
  failedCount++;
  console.log(`seed ${seed} ${JSON.stringify(schedule)}`);
  console.log(logLines.join('\n'));
  console.log(`seed ${seed}:\n  ${violations.join('\n  ')}`);
}
console.log(`${seeds} seeds, ${failedCount} failed`);
process.exit(failedCount === 0 ? 0 : 1);

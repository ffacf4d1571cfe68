/**
 * Plays randomized faults on real processes over loopback: `npm run soak -- SEEDS FIRST [WORKERS [copies]]` plays the seeds
 * FIRST to FIRST + SEEDS - 1, with `copies` also with copies of answered requests and with failing tasks. A run that fails prints its seed, its schedule and the logs of all processes.
 */
import { ArgumentError, argumentsOrExit, positiveInteger } from './positive-integer.js';
import { playSoak } from './soak-run.js';
import { soakScheduleOf, withCopies } from './soak-schedule.js';

const NODES = 3;
const DEFAULT_WORKERS = '12';
const COPIES = 'copies';
const MAX_ARGUMENTS = 4;

const { seeds, first, workers, hasCopies } = argumentsOrExit(() => {
  const [seedsText = '', firstText = '', workersText = DEFAULT_WORKERS, option, ...unknown] = process.argv.slice(2);
  if (unknown.length > 0) throw new ArgumentError(`more than ${MAX_ARGUMENTS} arguments: ${unknown.join(' ')}`);
  if (option !== undefined && option !== COPIES) throw new ArgumentError(`unknown argument: ${option}`);
  return {
    hasCopies: option === COPIES,
    seeds: positiveInteger('SEEDS', seedsText),
    first: positiveInteger('FIRST', firstText),
    workers: positiveInteger('WORKERS', workersText),
  };
});

let failedCount = 0;
for (let seed = first; seed < first + seeds; seed++) {
  const baseSchedule = soakScheduleOf(seed, NODES);
  const schedule = hasCopies ? withCopies(baseSchedule) : baseSchedule;
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

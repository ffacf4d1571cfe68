/**
 * Plays randomized scenarios: `npm run randomized -- COUNT [FIRST [large] [copies]]` plays the seeds FIRST to
 * FIRST + COUNT - 1, with `large` as scenarios of tens of machines, with `copies` also with copies of answered requests;
 * `npm run randomized -- SCHEDULE` plays one schedule in the form that is printed.
 */
import { ArgumentError, argumentsOrExit, positiveInteger } from './positive-integer.js';
import { largeScheduleOf, type Schedule, scheduleOf, withCopiedRequests } from './random-schedule.js';
import { playRandomized } from './randomized-scenario.js';

const OPTIONS = ['large', 'copies'];
const [countOrSchedule = '20', firstText = '1', ...options] = process.argv.slice(2);

function createSchedule(seed: number): Schedule {
  const schedule = options.includes('large') ? largeScheduleOf(seed) : scheduleOf(seed);
  return options.includes('copies') ? withCopiedRequests(schedule, seed) : schedule;
}

/** Plays a schedule and prints it with the violated rules; returns whether no rule was violated. */
async function playAndPrint(name: string, schedule: Schedule): Promise<boolean> {
  const violations = await playRandomized(schedule);
  if (violations.length > 0) console.log(`${name} ${JSON.stringify(schedule)}\n  ${violations.join('\n  ')}`);
  return violations.length === 0;
}

if (countOrSchedule.startsWith('{')) {
  if (await playAndPrint('schedule', JSON.parse(countOrSchedule) as Schedule)) console.log('no rule was broken');
} else {
  const { count, first } = argumentsOrExit(() => {
    const unknown = options.find((option) => !OPTIONS.includes(option));
    if (unknown !== undefined) throw new ArgumentError(`unknown argument: ${unknown}`);
    return { count: positiveInteger('COUNT', countOrSchedule), first: positiveInteger('FIRST', firstText) };
  });
  let failed = 0;
  for (let n = 0; n < count; n++) {
    const seed = first + n;
    if (!(await playAndPrint(`seed ${seed}`, createSchedule(seed)))) failed++;
  }
  console.log(`${count} scenarios, ${failed} with broken rules`);
  if (failed > 0) process.exitCode = 1;
}

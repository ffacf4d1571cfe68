/**
 * Plays randomized scenarios: `npm run randomized -- COUNT [FIRST [large]]` plays the seeds FIRST to FIRST + COUNT - 1,
 * with `large` as scenarios of tens of machines; `npm run randomized -- SCHEDULE` plays one schedule in the form that
 * is printed.
 */
import { largeScheduleOf, type Schedule, scheduleOf } from './random-schedule.js';
import { playRandomized } from './randomized-scenario.js';

const [countOrSchedule = '20', first = '1', size] = process.argv.slice(2);
const createSchedule = size === 'large' ? largeScheduleOf : scheduleOf;

/** Plays a schedule and prints it with the violated rules; returns whether no rule was violated. */
async function playAndPrint(name: string, schedule: Schedule): Promise<boolean> {
  const violations = await playRandomized(schedule);
  if (violations.length > 0) console.log(`${name} ${JSON.stringify(schedule)}\n  ${violations.join('\n  ')}`);
  return violations.length === 0;
}

if (countOrSchedule.startsWith('{')) {
  if (await playAndPrint('schedule', JSON.parse(countOrSchedule) as Schedule)) console.log('no rule was broken');
} else {
  const count = Number(countOrSchedule);
  let failed = 0;
  for (let n = 0; n < count; n++) {
    const seed = Number(first) + n;
    if (!(await playAndPrint(`seed ${seed}`, createSchedule(seed)))) failed++;
  }
  console.log(`${count} scenarios, ${failed} with broken rules`);
  if (failed > 0) process.exitCode = 1;
}

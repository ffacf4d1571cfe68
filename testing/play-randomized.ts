/**
 * Plays randomized scenarios: `npm run randomized -- COUNT [FIRST [large]]` the seeds FIRST to FIRST + COUNT - 1, with `large` those
 * of tens of machines; `npm run randomized -- SCHEDULE` one schedule, as it was printed.
 */
import { largeScheduleOf, type Schedule, scheduleOf } from './random-schedule.js';
import { play } from './randomized-scenario.js';

const [what = '20', first = '1', size] = process.argv.slice(2);
const draw = size === 'large' ? largeScheduleOf : scheduleOf;

async function show(name: string, schedule: Schedule): Promise<boolean> {
  const broken = await play(schedule);
  if (broken.length > 0) console.log(`${name} ${JSON.stringify(schedule)}\n  ${broken.join('\n  ')}`);
  return broken.length === 0;
}

if (what.startsWith('{')) {
  if (await show('schedule', JSON.parse(what) as Schedule)) console.log('no rule was broken');
} else {
  const count = Number(what);
  let failed = 0;
  for (let n = 0; n < count; n++) {
    const seed = Number(first) + n;
    if (!(await show(`seed ${seed}`, draw(seed)))) failed++;
  }
  console.log(`${count} scenarios, ${failed} with broken rules`);
  if (failed > 0) process.exitCode = 1;
}

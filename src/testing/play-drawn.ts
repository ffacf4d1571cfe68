/**
 * Plays drawn stories: `npm run drawn -- COUNT [FIRST]` the seeds FIRST to FIRST + COUNT - 1, `npm run drawn -- SCHEDULE`
 * one schedule, as it was printed.
 */
import { play, scheduleOf, type Schedule } from './drawn.js';

const [what = '20', first = '1'] = process.argv.slice(2);

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
    if (!(await show(`seed ${seed}`, scheduleOf(seed)))) failed++;
  }
  console.log(`${count} stories, ${failed} with broken rules`);
  if (failed > 0) process.exitCode = 1;
}

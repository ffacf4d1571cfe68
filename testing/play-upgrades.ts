/**
 * Plays scenarios of an upgrade: `npm run upgrades -- COUNT [FIRST [CHECKOUT]]` the seeds FIRST to FIRST + COUNT - 1. CHECKOUT is the
 * folder of another version, compiled with its tests, from which all processes change over; without it there is no change.
 */
import { loadProductionVersion } from './production-version.js';
import { playUpgrade, upgradeScheduleOf } from './upgrade-scenario.js';

const [count = '20', first = '1', checkout] = process.argv.slice(2);
const before = checkout === undefined ? undefined : await loadProductionVersion(checkout);
let failed = 0;
for (let seed = Number(first); seed < Number(first) + Number(count); seed++) {
  const schedule = upgradeScheduleOf(seed);
  const broken = await playUpgrade(schedule, before);
  if (broken.length === 0) continue;
  failed++;
  console.log(`seed ${seed} ${JSON.stringify(schedule)}\n  ${broken.join('\n  ')}`);
}
console.log(`${count} scenarios of an upgrade, ${failed} with broken rules`);
if (failed > 0) process.exitCode = 1;

/**
 * Plays upgrade scenarios: `npm run upgrades -- COUNT [FIRST [CHECKOUT]]` plays the seeds FIRST to FIRST + COUNT - 1.
 * CHECKOUT is the folder of the version, compiled with its tests, that all processes are upgraded from; without it,
 * none is upgraded.
 */
import { loadProductionVersion } from './production-version.js';
import { playUpgrade, upgradeScheduleOf } from './upgrade-scenario.js';

const [count = '20', first = '1', checkout] = process.argv.slice(2);
const previousVersion = checkout === undefined ? undefined : await loadProductionVersion(checkout);
let failed = 0;
for (let seed = Number(first); seed < Number(first) + Number(count); seed++) {
  const schedule = upgradeScheduleOf(seed);
  const violations = await playUpgrade(schedule, previousVersion);
  if (violations.length === 0) continue;
  failed++;
  console.log(`seed ${seed} ${JSON.stringify(schedule)}\n  ${violations.join('\n  ')}`);
}
console.log(`${count} scenarios of an upgrade, ${failed} with broken rules`);
if (failed > 0) process.exitCode = 1;

/**
 * Plays scenarios of an upgrade: `npm run upgrades -- COUNT [FIRST [CHECKOUT]]` the seeds FIRST to FIRST + COUNT - 1. CHECKOUT is the
 * folder of another version, compiled with its tests, from which all processes change over; without it there is no change.
 */
import { resolve } from 'node:path';
import { pathToFileURL } from 'node:url';
import type { ProgramVersion } from './cluster.js';
import { playUpgrade, upgradeScheduleOf } from './upgrade-scenario.js';

async function versionIn(checkout: string): Promise<ProgramVersion> {
  const load = (file: string) =>
    import(pathToFileURL(resolve(checkout, 'target/test/src', file)).href) as Promise<Partial<ProgramVersion>>;
  const { Controller } = await load('controller/controller.js');
  const { encodeMessage, decodeMessage } = await load('mesh/messages.js');
  return { Controller: Controller!, encodeMessage: encodeMessage!, decodeMessage: decodeMessage! };
}

const [count = '20', first = '1', checkout] = process.argv.slice(2);
const before = checkout === undefined ? undefined : await versionIn(checkout);
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

/* global console */
// Workers whose `Tick` is above 2^53, though below 2^64: the controllers end by themselves.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { BROKEN, COULD_NOT_RUN, Deployment, HELD, jobOf, runCase, sleep, User } from '../lib2/harness.mjs';
import { hearingLists, NOD_OPT } from '../lib2/sites.mjs';

/** A clock's ns since 1970, and a step of 1 ms: far below 2^64, and exact in the JSON of the reports. */
const WIDE = { firstTick: 1_796_000_000_000_000_000, tickStep: 1_048_576 };
const USUAL = { firstTick: 0, tickStep: 1 };
const OBSERVED_MS = 20_000;

await runCase(async (trouble) => {
  const folder = dirname(fileURLToPath(import.meta.url));
  const deployment = new Deployment({ nodes: 3, cluster: hearingLists(), flavors: [NOD_OPT], folder });
  const { firstTick, tickStep } = trouble ? WIDE : USUAL;
  let started = 0;
  deployment.onEvent = (kind, fields) => {
    if (kind === 'task starts') started++;
    deployment.record(`${kind}: ${JSON.stringify(fields)}`);
  };
  try {
    await deployment.start();
    if (!(await deployment.ready())) return COULD_NOT_RUN;
    const machines = hearingLists().zones.map((site) => ({ flavor: 'nod-opt', site, firstTick }));
    await deployment.startMachines(machines, { runS: () => 5, tickStep });
    const user = new User(deployment);
    const job = jobOf({ Shards: 4 });
    if ((await user.submit(job)) !== 201) return COULD_NOT_RUN;
    await sleep(OBSERVED_MS);
    const { status, body } = await user.poll(job.Ref);
    const ends = deployment.exits.map(({ name, reason }) => `${name} ${reason}`).join(', ') || 'none';
    const result = `poll: ${status} ${JSON.stringify(body)}; ${started} tasks started; processes that ended by themselves: ${ends}`;
    deployment.record(result);
    console.log(result);
    return deployment.exits.length > 0 ? BROKEN : HELD;
  } finally {
    await deployment.stop();
  }
});

/* global console, performance */
// A team whose name has a space: its accepted jobs never run.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { BROKEN, COULD_NOT_RUN, Deployment, HELD, jobOf, runCase, sleep, User } from '../lib2/harness.mjs';
import { hearingLists, NOD_OPT } from '../lib2/sites.mjs';

/** The jobs run for 3 s, and there is room for both at once. */
const OBSERVED_MS = 25_000;

await runCase(async (trouble) => {
  const folder = dirname(fileURLToPath(import.meta.url));
  const cluster = hearingLists();
  const team = trouble ? 'echipa platforma 00' : 'echipa-platforma-00';
  cluster.teams[0].name = team;
  const deployment = new Deployment({ nodes: 3, cluster, flavors: [NOD_OPT], folder });
  deployment.onEvent = (kind, fields) => deployment.record(`${kind}: ${JSON.stringify(fields)}`);
  try {
    await deployment.start();
    if (!(await deployment.ready())) return COULD_NOT_RUN;
    const machines = cluster.zones.map((site) => ({ flavor: 'nod-opt', site }));
    await deployment.startMachines(machines, { runS: () => 3 });
    await sleep(3000);
    const user = new User(deployment);
    const [own, other] = [
      jobOf({ Ref: 'j-000001', Shards: 4, Owner: team }),
      jobOf({ Ref: 'j-000002', Shards: 4, Owner: 'echipa-platforma-01' }),
    ];
    if ((await user.submit(own)) !== 201 || (await user.submit(other)) !== 201) return COULD_NOT_RUN;
    const endsAt = performance.now() + OBSERVED_MS;
    const phases = new Map();
    while (performance.now() < endsAt && [...phases.values()].filter((phase) => phase === 'done').length < 2) {
      await sleep(5000);
      for (const { Ref } of [own, other]) {
        const { status, body } = await user.poll(Ref);
        phases.set(Ref, body?.Phase);
        deployment.record(`poll ${Ref}: ${status} ${JSON.stringify(body)}`);
      }
    }
    for (const [what, count] of deployment.store.rejected)
      deployment.record(`store answered 400 ${count} times: ${what}`);
    const result = `${team}: ${phases.get(own.Ref)}; the other team: ${phases.get(other.Ref)}`;
    deployment.record(result);
    console.log(result);
    if (phases.get(other.Ref) !== 'done') return COULD_NOT_RUN;
    return phases.get(own.Ref) === 'done' ? HELD : BROKEN;
  } finally {
    await deployment.stop();
  }
});

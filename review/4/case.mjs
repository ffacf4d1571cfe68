/* global console, performance */
// Many small tasks: the controllers put more tasks on one machine than its worker can name in a report.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { BROKEN, COULD_NOT_RUN, Deployment, HELD, jobOf, runCase, sleep, User } from '../lib2/harness.mjs';
import { fantasyDivision, KAYAL_LARGE } from '../lib2/sites.mjs';

const RUN_S = 25;
const OBSERVED_MS = 55_000;
const POLL_MS = 5000;
/** The same amount of work: 64 CPUs and 96 GB for 25 s, as `player-rating` runs. */
const SMALL_TASKS = { Shards: 1600, Cpus: 0.04, MemGb: 0.06 };
const USUAL_TASKS = { Shards: 32, Cpus: 2.0, MemGb: 3.0 };

await runCase(async (trouble) => {
  const folder = dirname(fileURLToPath(import.meta.url));
  const deployment = new Deployment({ nodes: 3, cluster: fantasyDivision(), flavors: [KAYAL_LARGE], folder });
  const counts = { started: 0, done: 0, lost: 0 };
  deployment.onEvent = (kind, { cause, ...fields }) => {
    if (kind === 'task starts') counts.started++;
    else if (kind !== 'task ends') deployment.record(`${kind}: ${JSON.stringify(fields)}`);
    else if (cause === 'done') counts.done++;
    else counts.lost++;
  };
  try {
    await deployment.start();
    if (!(await deployment.ready())) return COULD_NOT_RUN;
    await deployment.startMachines([{ flavor: 'kayal-large', site: 'kochi-east' }], { runS: () => RUN_S });
    deployment.capacity = 4;
    await sleep(5000);
    const user = new User(deployment);
    const fields = { Owner: 'platform-crew', Jobclass: 'player-rating', GuessS: RUN_S, SizeGb: 0.5 };
    const job = jobOf({ ...fields, ...(trouble ? SMALL_TASKS : USUAL_TASKS) });
    if ((await user.submit(job)) !== 201) return COULD_NOT_RUN;
    const endsAt = performance.now() + OBSERVED_MS;
    let phase;
    while (performance.now() < endsAt && phase !== 'done') {
      await sleep(POLL_MS);
      const { status, body } = await user.poll(job.Ref);
      phase = body?.Phase;
      deployment.record(`poll ${job.Ref}: ${status} ${JSON.stringify(body)}; runs of tasks: ${JSON.stringify(counts)}`);
    }
    const returned = [...deployment.returned].join(' ') || 'none';
    const result = `${job.Ref} is ${phase}; runs of tasks: ${JSON.stringify(counts)}; machines returned: ${returned}`;
    deployment.record(result);
    console.log(result);
    if (phase === 'done') return HELD;
    // No machine, link, store or controller was disturbed: nothing excuses the loss of all that ran.
    return counts.lost >= job.Shards && counts.done === 0 ? BROKEN : COULD_NOT_RUN;
  } finally {
    await deployment.stop();
  }
});

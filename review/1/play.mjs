/* global process */
import { Deployment, hasTrouble, now, runCase, send, sleep } from '../lib/harness.mjs';

const PLAY_MS = 90_000;
const ZONES = ['kochi-east', 'kochi-west', 'chennai-south'];
const ROUNDS_AT_ONCE = 6;
/** Share of requests to the state service that get no answer. */
const LOST_SHARE = 0.1;
const POLL_PERIOD_MS = 40;
const POLL_BEFORE_MS = 300;
const POLL_AFTER_MS = 1200;
const DEPENDENTS = 3;

const job = (id, fields = {}) => ({
  ...{ Ref: id, Jobclass: 'feed-clean', Owner: 'platform-crew', Shape: 'array', Rank: 'low', Shards: 1 },
  ...{ Cpus: 1, Cards: 0, MemGb: 1.6, Bundle: 'img-1', SizeGb: 1, Flavors: null, Site: null },
  ...{ OneZone: false, Spread: false, Reclaimable: true, GuessS: 15, SnapshotEveryS: 0, SnapshotS: 0, DueS: null },
  ...fields,
});

await runCase(process.env.RECORD, async (record) => {
  const seed = 11;
  let lost = 0;
  let isTroubled = false;
  const deployment = new Deployment({
    ...{ record, seed, machines: 6, zones: ZONES, runMs: 3_600_000 },
    machineType: {
      ...{ name: 'kayal-medium', cpus: 32, gpus: 0, memoryGb: 256, imageCacheGb: 50, fetchGbPerS: 1 },
      ...{ hourlyPrice: 2.04, spotHourlyPrice: 0.66, bootS: 35, zones: ZONES },
    },
    teams: [{ name: 'platform-crew', cpus: 0, cpus_max: 0, gpus: 60, gpus_max: 250 }],
    cluster: {
      zones: ZONES,
      workers: { report_s: 5, lease_s: 32, gang_wait_s: 50, gang_peer_s: 6, cancel_s: 52 },
      state: { rps: 200, write_rps: 80, value_kb: 32, txn_ops: 48 },
      cloud: { rps: 2, list_lag_s: 5 },
      limits: { cpu: 0.136, ram_mb: 146, sockets: 800 },
    },
    /** The state service executes every request; the answers to some of them are lost. */
    async storeHandler({ node, method, path, body, execute }) {
      const reply = await execute();
      if (!isTroubled || deployment.random.float() >= LOST_SHARE) return reply;
      lost++;
      const keys = (body?.Apply ?? []).map(({ Set: set, Drop: drop }) => set ?? drop).join(' ');
      record.add('no answer to node', node, 'for', method, path, keys);
      return new Promise(() => undefined);
    },
  });
  const broken = [];
  /** When a user was first told that the job is cancelled, and by which node. */
  const withdrawn = new Map();

  async function ask(id, node) {
    const answer = await send(deployment.addresses[node], 'GET', `/v1/jobs/${id}`, undefined, 2000);
    const phase = answer.body?.Phase;
    record.add('poll of', id, 'at node', node, 'sent', answer.sentAt, 'answer', answer.status, phase);
    if (answer.status !== 200) return;
    const told = withdrawn.get(id);
    if (phase === 'withdrawn') {
      if (told === undefined) withdrawn.set(id, { at: answer.at, node });
    } else if (told !== undefined && answer.sentAt > told.at) {
      broken.push(
        `went_back: ${id} was called withdrawn by node ${told.node} at ${told.at}; ` +
          `node ${node}, asked at ${answer.sentAt}, called it ${phase} at ${answer.at}`,
      );
    }
  }

  async function submit(body, node) {
    deployment.describe(body);
    for (let tries = 0; tries < 30; tries++) {
      const { status } = await send(deployment.addresses[(node + tries) % 3], 'POST', '/v1/jobs', body, 5000);
      record.add('submission of', body.Ref, 'Awaits', JSON.stringify(body.Awaits ?? []), 'answer', status);
      if (status === 200 || status === 201) return;
      await sleep(1000);
    }
    throw new Error(`${body.Ref} was not accepted`);
  }

  async function withdraw(id, node) {
    for (let tries = 0; tries < 30; tries++) {
      const path = `/v1/jobs/${id}/withdraw`;
      const { status, body } = await send(deployment.addresses[(node + tries) % 3], 'POST', path, undefined, 5000);
      record.add('cancellation of', id, 'answer', status, body?.Phase);
      if (status === 200) return;
      await sleep(1000);
    }
  }

  let round = 0;
  async function playRound() {
    const number = round++;
    const first = `j-${String(number * 10).padStart(6, '0')}`;
    const dependents = Array.from(
      { length: DEPENDENTS },
      (_, i) => `j-${String(number * 10 + i + 1).padStart(6, '0')}`,
    );
    await submit(job(first), number % 3);
    await Promise.all(dependents.map((id) => submit(job(id, { Awaits: [first] }), number % 3)));
    const polls = [];
    let withdrawal;
    const startedAt = now();
    while (now() < startedAt + POLL_BEFORE_MS + POLL_AFTER_MS) {
      if (withdrawal === undefined && now() > startedAt + POLL_BEFORE_MS) withdrawal = withdraw(first, number % 3);
      for (const id of dependents) for (const node of [0, 1, 2]) polls.push(ask(id, node));
      await sleep(POLL_PERIOD_MS);
    }
    await Promise.all([...polls, withdrawal]);
  }

  try {
    await deployment.start();
    isTroubled = hasTrouble;
    const endsAt = now() + PLAY_MS;
    const players = Array.from({ length: ROUNDS_AT_ONCE }, async () => {
      while (now() < endsAt && broken.length === 0) await playRound();
    });
    await Promise.all(players);
    record.add('rounds', round, 'answers lost', lost);
  } finally {
    deployment.stop();
  }
  return broken;
});

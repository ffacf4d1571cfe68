import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import type { HttpAnswer } from '../../src/net/http-answer.js';
import { Cluster } from '../../testing/cluster.js';
import { encodeTransaction, type StoreOperation } from '../../testing/fake-store-wire-codec.js';
import { type ClusterOptions, jobOf } from '../../testing/fixtures.js';
import { decodeJobStatus } from '../../testing/job-status-wire-codec.js';
import type { Submission } from '../../testing/submission-wire-codec.js';

/** Two faults combined on the way of users' jobs; each scenario ends with the verdict of the invariant checker. */
let cluster: Cluster;
afterEach(() => assert.deepEqual(cluster.verdict(), []));

async function ready(options: ClusterOptions = {}, machines = 3, runMs = 5000): Promise<Cluster> {
  stormy = false;
  cluster = new Cluster({ nodes: 3, ...options });
  for (let index = 0; index < machines; index++) {
    cluster.addWorker({
      machineId: `i-00000${index}`,
      zone: ['a', 'b', 'c'][index % 3]!,
      runMs,
    });
  }
  await cluster.advance(5000);
  return cluster;
}

const body = (answer: HttpAnswer) => decodeJobStatus(answer.body);
const phase = async (jobId: string, node = 0) => body(await cluster.poll(jobId, node)).state;
const service = { kind: 'service', priority: 'prod', estimatedRunS: 0 } as const;
const running = (jobId: string) =>
  [...cluster.workers.values()].flatMap((worker) =>
    [...worker.tasks].filter(([name, task]) => name.startsWith(`${jobId}/`) && task.state === 'running'),
  ).length;

/** What users do at some time from now. */
function after(ms: number, act: () => unknown): void {
  void cluster.clock.sleep(ms).then(act);
}

let stormy = false;
/** The store takes that long from now on, changing from moment to moment. */
function slowStore(least: number, most: number): void {
  stormy = true;
  const change = (turn: number) => {
    if (!stormy) return;
    cluster.store.slowMs = least + ((turn * 7919) % (most - least));
    after(130, () => change(turn + 1));
  };
  change(1);
}

function heal(): void {
  stormy = false;
  cluster.store.slowMs = 0;
  cluster.network.heal();
}

/** Users ask about the jobs every 5 s, each time another node, until the scenario ends. */
function askAll(jobIds: readonly string[], forMs: number): Map<string, HttpAnswer[]> {
  const answers = new Map<string, HttpAnswer[]>(jobIds.map((jobId) => [jobId, []]));
  for (const [at, jobId] of jobIds.entries()) {
    for (let turn = 0; turn * 5000 < forMs; turn++) {
      after(turn * 5000 + ((at * 370) % 5000), async () =>
        answers.get(jobId)!.push(await cluster.requestStatus(jobId, (at + turn) % 3)),
      );
    }
  }
  return answers;
}

describe('the end of a last task', () => {
  const troubles: Record<string, () => void> = {
    'with no other trouble': () => undefined,
    'and lost answers': () => {
      for (let n = 0; n < 8; n++) {
        after(4500 + n * 550, () =>
          cluster.network.fault({
            from: `n${n % 3}`,
            path: /^\/txn/,
            kind: 'answerLost',
            times: 2,
          }),
        );
      }
    },
    'and transactions carried out late': () => {
      for (let n = 0; n < 6; n++) {
        after(4500 + n * 700, () =>
          cluster.network.fault({
            from: `n${n % 3}`,
            path: /^\/txn/,
            kind: 'hold',
            times: 1,
          }),
        );
        after(7500 + n * 1900, () => cluster.network.release());
      }
    },
    'and a slow store': () => {
      slowStore(200, 900);
    },
  };
  for (const [name, begin] of Object.entries(troubles)) {
    it(`meets cancellations, questions and repeated submissions, ${name}: one end is told`, async () => {
      await ready({ teams: [{ name: 'red' }] });
      begin();
      const jobIds = Array.from({ length: 40 }, (_, n) => `j-end${n}`);
      for (const [n, jobId] of jobIds.entries()) {
        const job = jobOf({
          id: jobId,
          cpus: 0.1,
          memoryGb: 0.1,
          taskCount: 1 + (n % 2),
        });
        void cluster.post(job, n % 3);
        const at = 4600 + n * 60;
        after(at, () => cluster.requestCancellation(jobId, n % 3));
        for (const late of [0, 150, 400, 1200]) {
          after(at + late, () => cluster.requestStatus(jobId, (n + 1) % 3));
          after(at + late, () => cluster.post(job, (n + 2) % 3));
          after(at + late + 50, () => cluster.requestCancellation(jobId, (n + 1) % 3));
        }
      }
      await cluster.advance(30_000);
      heal();
      cluster.checker.faultsEnded(cluster.clock.now());
      await cluster.advance(10_000);
      const ends = new Set<string>();
      for (const jobId of jobIds) {
        const phases = await Promise.all([0, 1, 2].map((node) => phase(jobId, node)));
        assert.equal(new Set(phases).size, 1, `${jobId}: ${phases.join(' ')}`);
        ends.add(phases[0]!);
        assert.deepEqual(
          [...cluster.store.rows.keys()].filter((key) => key.endsWith(`/${jobId}`) || key.includes(`/${jobId}/`)),
          [`ended/${jobId}`],
        );
      }
      assert.deepEqual([...ends].sort(), ['cancelled', 'done'], 'the moments lie on both sides');
    });
  }
});

describe('a team at its limit', () => {
  const teams = [{ name: 'red', cpus: 4, cpus_max: 6 }];
  for (const cancelAt of [0, 700, 2500, 6000]) {
    it(`whose leader ends, with machines out of reach and a cancellation ${cancelAt} ms later, neither leaks nor exceeds`, async () => {
      await ready({ teams }, 6);
      for (let n = 0; n < 3; n++) await cluster.submit({ ...service, id: `j-svc${n}` }, n);
      for (let n = 0; n < 4; n++) await cluster.submit({ id: `j-more${n}`, taskCount: 2 }, n % 3);
      const lost = [0, 1].map((n) => cluster.runs(`j-svc${n}/0`)[0]!.machineId);
      const cloudBack = cluster.network.fault({
        to: 'cloud:1',
        kind: 'status',
        status: 503,
        body: { error: 'trouble' },
      });
      cluster.rememberWorkers();
      for (const machineId of lost) cluster.cut.add(machineId);
      for (let turn = 0; turn < 3; turn++) {
        const old = cluster.leader()!;
        // Answers of the others' transactions get lost while they take over, and one of them comes late.
        for (let n = 0; n < 3; n++) {
          if (n !== old)
            cluster.network.fault({
              from: `n${n}`,
              path: /^\/txn/,
              kind: n === turn ? 'hold' : 'answerLost',
              times: 2,
            });
        }
        cluster.crash(old);
        after(cancelAt, () => cluster.requestCancellation(`j-svc${turn}`, (old + 1) % 3));
        after(cancelAt + 2500, () => cluster.requestCancellation(`j-svc${turn}`, (old + 2) % 3));
        await cluster.advance(4000);
        cluster.network.release();
        cluster.start(old);
        await cluster.advance(6000);
        cluster.network.release();
      }
      cloudBack();
      for (const machineId of lost) cluster.cut.delete(machineId);
      await cluster.advance(5000);
      for (let n = 0; n < 3; n++) await cluster.cancelJob(`j-svc${n}`, n);
      cluster.checker.faultsEnded(cluster.clock.now());
      const jobIds = [0, 1, 2, 3].map((n) => `j-more${n}`);
      askAll(jobIds, 100_000);
      await cluster.advance(100_000);
      for (const jobId of jobIds) assert.equal(await phase(jobId), 'done');
      const team = cluster.store.rows.get('live/team/red')?.value as {
        cpus: number;
      };
      assert.equal(team.cpus, 0);
    });
  }
});

describe('a team whose jobs come to nodes that do not hear each other', () => {
  it('never exceeds its limit, though no copy is up to date', async () => {
    await ready({ teams: [{ name: 'red', cpus: 4, cpus_max: 6 }] }, 6);
    for (const from of [0, 1, 2]) for (const to of [0, 1, 2]) cluster.partitioned.add(`n${from}>n${to}`);
    slowStore(300, 900);
    const jobIds = Array.from({ length: 9 }, (_, n) => `j-same${n}`);
    for (const [n, jobId] of jobIds.entries())
      void cluster.post(jobOf({ id: jobId, taskCount: 2, priority: 'prod' }), n % 3);
    await cluster.advance(60_000);
    heal();
    cluster.partitioned.clear();
    cluster.checker.faultsEnded(cluster.clock.now());
    askAll(jobIds, 95_000);
    await cluster.advance(95_000);
    for (const jobId of jobIds) assert.equal(await phase(jobId), 'done');
  });
});

describe('more work than room', () => {
  for (const ms of [
    [200, 400],
    [300, 700],
    [500, 1000],
  ] as [number, number][]) {
    it(`urgent and not, over links to the store of ${ms.join(' to ')} ms: holds are kept, users are answered, all is done`, async () => {
      await ready({
        teams: [{ name: 'red' }, { name: 'blue', cpus: 8, cpus_max: 16 }],
      });
      for (const zone of ['a', 'b', 'c']) cluster.cloud.full.add(zone);
      const owners = () =>
        ['leader', 'part-0', 'part-1', 'part-2'].map((role) => cluster.node(0).leadership.leaderOf(role));
      const before = owners();
      slowStore(...ms);
      await cluster.advance(3000);
      const jobIds: string[] = [];
      for (let n = 0; n < 24; n++) {
        const jobId = `j-mix${n}`;
        jobIds.push(jobId);
        const kinds: Partial<Submission>[] = [
          { priority: 'low', taskCount: 6 },
          { priority: 'normal', taskCount: 4, team: 'blue' },
          { priority: 'high', kind: 'gang', taskCount: 5 },
          { priority: 'prod', taskCount: 2 },
        ];
        after(n * 300, () => cluster.post(jobOf({ id: jobId, ...kinds[n % 4] }), n % 3));
      }
      await cluster.advance(12_000);
      let up = 0;
      for (let turn = 0; turn < 80; turn++) {
        after(turn * 250, () => {
          for (const node of [0, 1, 2]) if (cluster.node(node).up().status === 200) up++;
        });
      }
      const answers = askAll(jobIds, 150_000);
      await cluster.advance(150_000);
      const all = [...answers.values()].flat();
      const good = all.filter(({ status }) => status === 200).length;
      assert.ok(good > 0.9 * all.length, `${good} of ${all.length} questions answered`);
      assert.ok(up > 0.95 * 240, `${up} of 240 looks found a node up`);
      assert.deepEqual(owners(), before, 'no hold was lost');
      for (const jobId of jobIds) assert.equal(await phase(jobId), 'done', jobId);
    });
  }
});

describe('jobs bound to one zone', () => {
  const kinds: Record<string, Partial<Submission>> = {
    'an array in one zone': { singleZone: true, taskCount: 6 },
    'an array of one site': { zone: 'a', taskCount: 6 },
    'a spread array': { spreadAcrossZones: true, taskCount: 6 },
    'a gang in one zone': { singleZone: true, kind: 'gang', taskCount: 4 },
    'a service in one zone': {
      ...service,
      id: 'j-svc-z',
      singleZone: true,
      taskCount: 3,
    },
    'a spread service': { ...service, id: 'j-svc-z', spreadAcrossZones: true, taskCount: 4 },
  };
  for (const [name, fields] of Object.entries(kinds)) {
    for (const cloudDown of [true, false]) {
      it(`like ${name} lose all machines of a zone, the cloud ${cloudDown ? 'silent' : 'well'}`, async () => {
        await ready({ teams: [{ name: 'red' }] }, 0);
        for (let n = 0; n < 4; n++)
          cluster.addWorker({
            machineId: `i-00001${n}`,
            zone: n < 2 ? 'a' : 'b',
            runMs: 9000,
          });
        await cluster.advance(3000);
        const job = { id: 'j-zone', estimatedRunS: 9, ...fields };
        await cluster.submit(job, 1);
        await cluster.advance(1000);
        const [first] = cluster.runs(`${job.id}/0`);
        const zone = cluster.workers.get(first!.machineId)!.options.zone!;
        const lost = [...cluster.workers.values()].filter((worker) => worker.options.zone === zone);
        const cloudBack = cloudDown
          ? cluster.network.fault({
              to: 'cloud:1',
              kind: 'status',
              status: 503,
              body: { error: 'trouble' },
            })
          : () => undefined;
        cluster.rememberWorkers();
        // One of them is only out of reach: its tasks go on until its lease ends.
        for (const { options } of lost) cluster.cut.add(options.machineId);
        const old = cluster.leader()!;
        cluster.crash(old);
        await cluster.advance(9000);
        cluster.start(old);
        await cluster.advance(31_000);
        cloudBack();
        if ('zone' in fields || 'spreadAcrossZones' in fields)
          cluster.addWorker({ machineId: 'i-000020', zone, runMs: 9000 });
        await cluster.advance(3000);
        cluster.checker.faultsEnded(cluster.clock.now());
        askAll([job.id], 100_000);
        await cluster.advance(100_000);
        const state = body(await cluster.poll(job.id));
        if (job.id === 'j-svc-z') assert.equal(running(job.id), fields.taskCount);
        else assert.equal(state.state, 'done', JSON.stringify(state));
      });
    }
  }
});

describe('users who cancel and ask', () => {
  for (const slow of [
    [100, 300],
    [400, 900],
  ] as [number, number][]) {
    it(`while the store is slow (${slow.join(' to ')} ms), refuses the leader, then all for longer than cancel_s`, async () => {
      await ready({ teams: [{ name: 'red' }] }, 6, 90_000);
      const jobIds = Array.from({ length: 12 }, (_, n) => `j-ask${n}`);
      for (const [n, jobId] of jobIds.entries()) {
        await cluster.submit({ id: jobId, cpus: 1, memoryGb: 1, taskCount: 2 }, n % 3);
      }
      const answers = askAll(jobIds, 150_000);
      slowStore(...slow);
      await cluster.advance(6000);
      const alone = `n${cluster.leader()!}`;
      cluster.store.refused.add(alone);
      // A cancellation that the store carries out and whose answer nobody gets.
      cluster.network.fault({
        from: `n${(cluster.leader()! + 1) % 3}`,
        path: /^\/txn/,
        kind: 'answerLost',
        times: 1,
      });
      for (let n = 0; n < 6; n++) {
        for (let again = 0; again < 40; again++) {
          after(n * 500 + again * 2000, () => cluster.requestCancellation(jobIds[n]!, (n + again) % 3));
        }
      }
      await cluster.advance(2600);
      cluster.store.out = true;
      const late: HttpAnswer[] = [];
      for (let n = 0; n < 20; n++) {
        after(4000 + n * 1500, async () => {
          const began = cluster.clock.now();
          late.push(await cluster.requestStatus(jobIds[6 + (n % 6)]!, n % 3));
          assert.ok(cluster.clock.now() - began < 50, 'told at once');
        });
      }
      await cluster.advance(45_000);
      for (const answer of late) {
        assert.ok(answer.status === 503 && (answer.retryAfter ?? 0) >= 1, JSON.stringify(answer));
      }
      cluster.store.refused.clear();
      cluster.store.endOutage();
      heal();
      cluster.checker.faultsEnded(cluster.clock.now());
      await cluster.advance(4000);
      for (const node of [0, 1, 2]) {
        const known = await cluster.during(
          Promise.all(jobIds.map((jobId) => cluster.requestStatus(jobId, node))),
          1000,
        );
        for (const [n, answer] of known.entries()) assert.equal(answer.status, 200, `${jobIds[n]} at n${node}`);
      }
      await cluster.advance(90_000);
      for (const [n, jobId] of jobIds.entries()) assert.equal(await phase(jobId), n < 6 ? 'cancelled' : 'done', jobId);
      assert.ok([...answers.values()].every((list) => list.length > 0));
    });
  }
});

describe('once troubles are over', () => {
  it('a job whose tasks failed on every machine goes on, and no machine stays closed to it', async () => {
    await ready({ teams: [{ name: 'red' }] });
    for (const worker of cluster.workers.values()) worker.options.failsAllTasks = true;
    for (const zone of ['a', 'b', 'c']) cluster.cloud.full.add(zone);
    await cluster.submit({
      ...service,
      id: 'j-svc-f',
      taskCount: 3,
      priority: 'normal',
    });
    await cluster.advance(20_000);
    for (const worker of cluster.workers.values()) worker.options.failsAllTasks = false;
    await cluster.advance(90_000);
    assert.equal(running('j-svc-f'), 3);
  });

  it('machines are rented again for a job whose tasks have often failed', async () => {
    await ready({ teams: [{ name: 'red' }] }, 0);
    for (const zone of ['a', 'b', 'c']) cluster.cloud.full.add(zone);
    for (let n = 0; n < 4; n++) {
      cluster.addWorker({ machineId: `i-00001${n}`, runMs: 5000, failsAllTasks: true });
      await cluster.advance(4000);
      if (n === 0) await cluster.submit({ ...service, id: 'j-svc-r', priority: 'normal' });
      await cluster.advance(12_000);
    }
    assert.ok(cluster.runs('j-svc-r/0').length > 2, 'it has failed more than twice');
    for (const machineId of [...cluster.workers.keys()]) cluster.kill(machineId);
    cluster.cloud.full.clear();
    await cluster.advance(90_000);
    assert.equal([...cluster.cloud.rentals.values()].flat().length, 1);
  });

  it('jobs with a mistake do not close the machines to those without', async () => {
    await ready({ teams: [{ name: 'red' }] });
    for (const zone of ['a', 'b', 'c']) cluster.cloud.full.add(zone);
    for (const worker of cluster.workers.values()) worker.options.failsTask = (taskId) => taskId.startsWith('j-bad');
    for (let n = 0; n < 3; n++) await cluster.submit({ id: `j-bad${n}`, taskCount: 6 }, n);
    await cluster.advance(10_000);
    for (let n = 0; n < 6; n++) await cluster.submit({ id: `j-good${n}`, taskCount: 4, priority: 'low' }, n % 3);
    await cluster.advance(60_000);
    for (let n = 0; n < 6; n++) assert.equal(await phase(`j-good${n}`), 'done');
    assert.deepEqual(cluster.cloud.returned, []);
  });

  it('a gang is done though one machine was given up before another told of the end', async () => {
    await ready({ teams: [{ name: 'red' }] }, 2, 12_000);
    await cluster.submit({
      id: 'j-gang',
      kind: 'gang',
      taskCount: 2,
      cpus: 8,
      priority: 'high',
    });
    const [first, second] = [0, 1].map((taskIndex) => cluster.runs(`j-gang/${taskIndex}`)[0]!);
    const end = first!.from + 12_000;
    cluster.rememberWorkers();
    await cluster.advance(end - 4000 - cluster.clock.now());
    cluster.cut.add(first!.machineId);
    await cluster.advance(3200);
    cluster.cut.add(second!.machineId);
    while (!cluster.cloud.returned.includes(first!.machineId)) await cluster.advance(100);
    assert.ok(cluster.clock.now() > end, 'its task is through by then');
    await cluster.advance(200);
    cluster.cut.delete(second!.machineId);
    await cluster.advance(5000);
    assert.deepEqual(cluster.cloud.returned, [first!.machineId]);
    assert.equal(await phase('j-gang'), 'done');
  });

  it('a gang waits for the pause of a member that has failed, and starts whole', async () => {
    await ready({ teams: [{ name: 'red' }] }, 0);
    for (const zone of ['a', 'b', 'c']) cluster.cloud.full.add(zone);
    await cluster.submit({
      id: 'j-gang',
      kind: 'gang',
      taskCount: 4,
      priority: 'high',
    });
    // As after an attempt that one member's error ended, not its first.
    const value = {
      s: [
        [1, 0],
        [1, 0],
        [1, 4],
        [1, 0],
      ],
    };
    const operations: StoreOperation[] = [{ kind: 'put', key: 'live/ledger/j-gang/0000', value }];
    await cluster.store.handle('POST', '/txn', encodeTransaction({ operations }));
    for (const machineId of ['i-000011', 'i-000012']) cluster.addWorker({ machineId, runMs: 30_000 });
    await cluster.advance(25_000);
    const from = [0, 1, 2, 3].map((taskIndex) => cluster.runs(`j-gang/${taskIndex}`)[0]!.from);
    assert.ok(Math.max(...from) - Math.min(...from) < 1500, from.join(' '));
  });
});

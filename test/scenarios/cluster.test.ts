import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { Cluster } from '../../testing/cluster.js';
import { C8, type ClusterOptions } from '../../testing/fixtures.js';
import { decodeJobStatus } from '../../testing/job-status-wire-codec.js';

let cluster: Cluster;
afterEach(() => assert.deepEqual(cluster.verdict(), []));

async function ready(options: ClusterOptions = {}, machines = 2): Promise<Cluster> {
  cluster = new Cluster(options);
  for (let index = 0; index < machines; index++) {
    cluster.addWorker({ machineId: `i-00000${index}`, zone: ['a', 'b', 'c'][index % 3]!, runMs: 5000 });
  }
  await cluster.advance(5000);
  return cluster;
}

const body = (answer: { body: unknown }) => decodeJobStatus(answer.body);
const service = { id: 'j-svc', kind: 'service', priority: 'prod', estimatedRunS: 0, spreadAcrossZones: true } as const;

describe('jobs', () => {
  it('run to their end, and are known for ever, also after a restart of all nodes', async () => {
    await ready();
    assert.equal((await cluster.submit({ taskCount: 3 })).status, 201);
    await cluster.advance(12_000);
    const status = body(await cluster.poll('j-000001'));
    assert.deepEqual(status, { id: 'j-000001', state: 'done', done: 3, running: 0 });
    cluster.crash(0);
    cluster.start(0);
    await cluster.advance(6000);
    assert.equal(body(await cluster.poll('j-000001')).state, 'done');
    const again = await cluster.submit({ taskCount: 3 });
    assert.equal(again.status, 200);
    assert.equal(body(again).state, 'done');
    for (const taskIndex of [0, 1, 2]) assert.equal(cluster.runs(`j-000001/${taskIndex}`).length, 1);
  });

  it('of many tasks leave no placement records behind', async () => {
    await ready({ teams: [{ name: 'red' }], machineTypes: [{ ...C8, cpus: 1000, memoryGb: 10_000 }] }, 1);
    await cluster.submit({ id: 'j-big', taskCount: 1000, cpus: 1, memoryGb: 1 });
    await cluster.advance(40_000);
    assert.equal(body(await cluster.poll('j-big')).state, 'done');
    await cluster.advance(3000);
    assert.deepEqual(
      [...cluster.store.rows.keys()].filter((key) => key.includes('j-big')),
      ['ended/j-big'],
    );
  });

  it('are unknown unless somebody has submitted them', async () => {
    await ready();
    assert.equal((await cluster.poll('j-nobody')).status, 404);
    assert.equal((await cluster.cancelJob('j-nobody')).status, 404);
  });

  it('that were cancelled stay so at every node, stop, and start no more', async () => {
    await ready({ nodes: 3 }, 3);
    await cluster.submit({ ...service, taskCount: 3 });
    await cluster.advance(3000);
    assert.equal(body(await cluster.cancelJob('j-svc', 1)).state, 'cancelled');
    for (const node of [0, 1, 2]) assert.equal(body(await cluster.poll('j-svc', node)).state, 'cancelled');
    await cluster.advance(3000);
    for (const taskIndex of [0, 1, 2]) {
      const runs = cluster.runs(`j-svc/${taskIndex}`);
      assert.equal(runs.length, 1);
      assert.notEqual(runs[0]!.to, undefined);
    }
    assert.equal(body(await cluster.submit({ ...service, taskCount: 3 }, 2)).state, 'cancelled');
  });

  it('are told as new as any node has told, though a node has missed the news', async () => {
    await ready({ nodes: 3 });
    await cluster.submit({ ...service, taskCount: 1 });
    // Node 2 hears nothing more from its watch.
    cluster.network.fault({ from: 'n2', path: /^\/watch/, kind: 'lose' });
    await cluster.cancelJob('j-svc', 0);
    assert.equal(body(await cluster.poll('j-svc', 2)).state, 'cancelled');
  });

  it('that can never run are refused for good, others only for now', async () => {
    await ready({ teams: [{ name: 'red', cpus_max: 4 }] });
    assert.equal((await cluster.submit({ team: 'nobody' })).status, 422);
    assert.equal((await cluster.submit({ cpus: 100 })).status, 422);
    assert.equal((await cluster.submit({ ...service, taskCount: 3 })).status, 422, "over the team's limit");
    assert.equal((await cluster.submit({ id: 'x' })).status, 400);
    assert.equal((await cluster.submit({ taskCount: 0 })).status, 400);
    cluster.store.out = true;
    const answer = await cluster.submit({});
    assert.equal(answer.status, 503);
    assert.ok((answer.retryAfter ?? 0) >= 1);
  });

  it('accepted without the node hearing so are known at the retry', async () => {
    await ready();
    cluster.network.fault({ path: /^\/txn/, kind: 'answerLost', times: 1 });
    const first = await cluster.submit({ ...service, taskCount: 1 });
    assert.ok(first.status === 201 || first.status === 200 || first.status === 503);
    assert.equal((await cluster.submit({ ...service, taskCount: 1 })).status, 200);
  });
});

describe('a task', () => {
  it('of a dead machine starts elsewhere, once the cloud has confirmed that the machine is gone', async () => {
    await ready({}, 3);
    await cluster.submit({ ...service, taskCount: 1 });
    const [run] = cluster.runs('j-svc/0');
    cluster.rememberWorkers();
    cluster.cut.add(run!.machineId);
    await cluster.advance(9000);
    assert.ok(cluster.cloud.returned.includes(run!.machineId));
    assert.equal(cluster.runs('j-svc/0').length, 2);
    assert.equal(cluster.overlaps('j-svc/0'), 0);
  });

  it('of a machine cut off while the cloud is down waits for the lease to be over', async () => {
    await ready({}, 3);
    await cluster.submit({ ...service, taskCount: 1 });
    const [run] = cluster.runs('j-svc/0');
    cluster.network.fault({ to: 'cloud:1', kind: 'status', status: 503, body: { error: 'trouble' } });
    cluster.cut.add(run!.machineId);
    await cluster.advance(8000);
    assert.equal(cluster.runs('j-svc/0').length, 1, 'it may still run there');
    await cluster.advance(8000);
    assert.equal(cluster.runs('j-svc/0').length, 2);
    assert.equal(cluster.overlaps('j-svc/0'), 0);
  });

  it('is not forgotten while a launch may still be on its way', async () => {
    await ready({}, 1);
    const worker = cluster.workers.get('i-000000')!;
    const heal = cluster.network.fault({ to: worker.endpoint, path: /^\/commands/, kind: 'hold' });
    await cluster.submit({ id: 'j-late' });
    await cluster.advance(9000);
    heal();
    // The held copy arrives after the task was done, recorded and forgotten, or before: it never runs a second time.
    cluster.network.release();
    await cluster.advance(5000);
    assert.equal(cluster.runs('j-late/0').length, 1);
    assert.equal(body(await cluster.poll('j-late')).state, 'done');
  });

  it('that fails everywhere is retried with growing pauses and starves nobody', async () => {
    await ready({ cluster: {} }, 1);
    cluster.workers.get('i-000000')!.options.failsAllTasks = true;
    await cluster.submit({ ...service, taskCount: 1 });
    await cluster.advance(20_000);
    const tries = cluster.runs('j-svc/0').length;
    assert.ok(tries >= 1 && tries < 8, `${tries} tries`);
  });

  it('never takes a team over its limit, whoever places it', async () => {
    await ready({ nodes: 3, teams: [{ name: 'red', cpus: 4, cpus_max: 6 }] }, 3);
    for (let n = 0; n < 4; n++) {
      await cluster.submit({ id: `j-q${n}`, taskCount: 4 }, n % 3);
      const running = [...cluster.workers.values()].flatMap((worker) =>
        [...worker.tasks.values()].filter((task) => task.state === 'running'),
      );
      assert.ok(running.length <= 3, `${running.length} tasks of 2 CPUs`);
    }
    await cluster.advance(60_000);
    for (let n = 0; n < 4; n++) assert.equal(body(await cluster.poll(`j-q${n}`)).state, 'done');
    const team = cluster.store.rows.get('live/team/red')?.value as { cpus: number };
    assert.equal(team.cpus, 0);
  });

  it('shares a machine with a sibling only if it must', async () => {
    await ready({}, 4);
    await cluster.submit({ ...service, taskCount: 4 });
    const counts = [...cluster.workers.values()].map((worker) => worker.tasks.size);
    assert.deepEqual(counts, [1, 1, 1, 1]);
  });

  it('keeps to its zones: half of a spread service at most in one', async () => {
    await ready({}, 3);
    await cluster.submit({ ...service, taskCount: 5 });
    const zones = new Map<string, number>();
    for (const worker of cluster.workers.values()) {
      const count = [...worker.tasks.values()].filter((task) => task.state === 'running').length;
      zones.set(worker.options.zone!, (zones.get(worker.options.zone!) ?? 0) + count);
    }
    assert.equal(
      [...zones.values()].reduce((a, b) => a + b, 0),
      5,
    );
    assert.ok(Math.max(...zones.values()) <= 3);
  });
});

describe('a gang', () => {
  const gang = { id: 'j-gang', kind: 'gang', priority: 'high', taskCount: 10, estimatedRunS: 30 } as const;

  it('starts whole or not at all, and all its tasks under one attempt', async () => {
    await ready({ teams: [{ name: 'red' }] }, 2);
    await cluster.submit(gang);
    await cluster.advance(3000);
    assert.equal([...cluster.workers.values()].flatMap((worker) => worker.history).length, 0);
    cluster.addWorker({ machineId: 'i-000009', runMs: 5000 });
    await cluster.advance(4000);
    const runs = [...cluster.workers.values()].flatMap((worker) => worker.history);
    assert.equal(runs.length, 10);
    assert.deepEqual([...new Set(runs.map((run) => run.attempt))], [1]);
  });

  it('stays in one zone if it must, and begins anew only when all of the old attempt have gone', async () => {
    await ready({ teams: [{ name: 'red' }] }, 3);
    cluster.addWorker({ machineId: 'i-000007', zone: 'b' });
    cluster.addWorker({ machineId: 'i-000008', zone: 'b' });
    await cluster.advance(3000);
    await cluster.submit({ ...gang, id: 'j-svc-gang', taskCount: 6, singleZone: true });
    const started = [...cluster.workers.values()].filter((worker) => worker.history.length > 0);
    assert.deepEqual([...new Set(started.map((worker) => worker.options.zone))], ['b']);
    // One member's machine is cut off: while the others may still be there, nothing starts in another zone or attempt.
    cluster.rememberWorkers();
    cluster.network.fault({ to: 'cloud:1', kind: 'status', status: 503, body: { error: 'trouble' } });
    cluster.cut.add(started[0]!.options.machineId);
    await cluster.advance(40_000);
    for (let taskIndex = 0; taskIndex < 6; taskIndex++) assert.equal(cluster.overlaps(`j-svc-gang/${taskIndex}`), 0);
    const zones = [...cluster.workers.values()].filter((worker) => worker.history.length > 0);
    assert.deepEqual([...new Set(zones.map((worker) => worker.options.zone))], ['b']);
  });
});

describe('members of a gang', () => {
  const gang = {
    id: 'j-svc-g',
    kind: 'gang',
    priority: 'high',
    taskCount: 6,
    checkpointIntervalS: 10,
    checkpointS: 2,
  } as const;
  const taskIds = [0, 1, 2, 3, 4, 5].map((taskIndex) => `j-svc-g/${taskIndex}`);

  it('that are lost while the others wait are replaced under the same attempt', async () => {
    await ready({ teams: [{ name: 'red' }] }, 3);
    cluster.workers.get('i-000002')!.options.imageMs = 15_000;
    await cluster.submit({ ...gang, cpus: 4 });
    const waiting = taskIds.filter((name) => cluster.runs(name).length > 0);
    assert.equal(waiting.length, 4, 'two fetch their image');
    const lost = waiting.filter((name) => cluster.runs(name)[0]!.machineId === cluster.runs(waiting[0]!)[0]!.machineId);
    cluster.rememberWorkers();
    cluster.addWorker({ machineId: 'i-000009' });
    cluster.cut.add(cluster.runs(waiting[0]!)[0]!.machineId);
    await cluster.advance(25_000);
    for (const name of taskIds) {
      const runs = cluster.runs(name);
      assert.equal(runs.length, lost.includes(name) ? 2 : 1);
      assert.ok(runs.every((run) => run.attempt === 1));
      assert.equal(cluster.overlaps(name), 0);
    }
  });

  it('are all told to stop within a moment when one machine is to go', async () => {
    await ready({ nodes: 3, teams: [{ name: 'red' }] }, 3);
    await cluster.submit(gang);
    cluster.workers.get(cluster.runs(taskIds[0]!)[0]!.machineId)!.spotNoticeS = 20;
    await cluster.advance(6000);
    const ends = taskIds.map((name) => cluster.runs(name)[0]!.to ?? Infinity);
    assert.ok(Math.max(...ends) - Math.min(...ends) < 4000, ends.join(' '));
  });
});

describe('a team', () => {
  it('gets its guarantee back from one that has borrowed it', async () => {
    await ready(
      {
        teams: [
          { name: 'red', cpus: 8 },
          { name: 'blue', cpus: 8 },
        ],
      },
      0,
    );
    cluster.addWorker({ machineId: 'i-000001' });
    cluster.addWorker({ machineId: 'i-000002', zone: 'b' });
    cluster.cloud.full.add('a').add('b').add('c');
    await cluster.advance(3000);
    await cluster.submit({ id: 'j-r1', taskCount: 8 });
    await cluster.submit({ id: 'j-b1', team: 'blue', taskCount: 4 });
    await cluster.advance(3000);
    const running = (jobId: string) =>
      [...cluster.workers.values()].flatMap((worker) =>
        [...worker.tasks].filter(([name, task]) => name.startsWith(jobId) && task.state === 'running'),
      ).length;
    assert.equal(running('j-b1'), 4);
    assert.equal(running('j-r1'), 4, 'and no more than that is taken');
  });
});

describe('a guarantee', () => {
  it('of cards takes nothing from work that needs none', async () => {
    const teams = [
      { name: 'red', gpus: 2 },
      { name: 'blue', gpus: 2 },
    ];
    await ready({ teams, machineTypes: [{ ...C8, gpus: 4 }] }, 0);
    cluster.addWorker({ machineId: 'i-000001' });
    cluster.cloud.full.add('a').add('b').add('c');
    await cluster.advance(3000);
    await cluster.submit({ id: 'j-cards', cpus: 1, gpus: 1, taskCount: 4 });
    await cluster.submit({ ...service, taskCount: 2, spreadAcrossZones: false });
    // All room is taken, and red uses more cards than its guarantee: blue's plain batch work must wait all the same.
    await cluster.submit({ id: 'j-blue', team: 'blue', taskCount: 2 });
    await cluster.advance(5000);
    assert.equal(cluster.runs('j-svc/0')[0]!.to, undefined);
    assert.equal(cluster.runs('j-svc/1')[0]!.to, undefined);
    assert.equal(cluster.runs('j-blue/0').length, 0);
  });
});

describe('a node', () => {
  it('that crashes is replaced as an owner, and its tasks run on', async () => {
    await ready({ nodes: 3 }, 3);
    await cluster.submit({ ...service, taskCount: 3 });
    cluster.crash(0);
    await cluster.advance(9000);
    assert.deepEqual(cluster.node(1).leadership.leaderOf('part-0') !== 'n0', true);
    for (const taskIndex of [0, 1, 2]) assert.equal(cluster.runs(`j-svc/${taskIndex}`)[0]!.to, undefined);
    cluster.start(0);
    await cluster.advance(12_000);
    assert.equal(cluster.node(1).leadership.leaderOf('part-0'), 'n0', 'the part goes home');
    for (const taskIndex of [0, 1, 2]) assert.equal(cluster.runs(`j-svc/${taskIndex}`).length, 1);
  });

  it('that restarts within a moment acquires its own roles at once, with a higher fencing token', async () => {
    await ready({ nodes: 3 });
    const fencingToken = cluster.node(0).leadership.leadershipOf('part-0')!.fencingToken;
    cluster.crash(0);
    cluster.start(0);
    await cluster.advance(1500);
    assert.ok(cluster.node(0).leadership.leadershipOf('part-0')!.fencingToken > fencingToken);
  });

  it('alone without the store stops answering as soon as a peer has it', async () => {
    await ready({ nodes: 3 }, 3);
    cluster.network.fault({ from: 'n0', to: 'store:1', kind: 'status', status: 503 });
    await cluster.advance(6000);
    assert.equal(cluster.node(0).leadership.servingLeadershipOf('part-0'), undefined);
    assert.equal(cluster.node(0).up().status, 503);
    await cluster.advance(4000);
    assert.ok(['n1', 'n2'].includes(cluster.node(1).leadership.leaderOf('part-0')!));
  });

  it('cut off from store and peers answers no longer than a cancellation allows', async () => {
    await ready({ nodes: 3 }, 3);
    cluster.network.fault({ from: 'n0', to: 'store:1', kind: 'lose' });
    for (const pair of ['n0>n1', 'n0>n2', 'n1>n0', 'n2>n0']) cluster.partitioned.add(pair);
    await cluster.advance(15_000);
    assert.notEqual(cluster.node(0).leadership.servingLeadershipOf('part-0'), undefined);
    await cluster.advance(12_000);
    assert.equal(cluster.node(0).leadership.servingLeadershipOf('part-0'), undefined);
  });

  it('learns of machines by way of a third when it can not hear their owner', async () => {
    await ready({ nodes: 3 }, 6);
    for (const pair of ['n0>n1', 'n1>n0']) cluster.partitioned.add(pair);
    await cluster.advance(20_000);
    for (const node of [0, 1]) {
      const known = [...cluster.node(node).inventory.machines().values()];
      assert.equal(known.filter((machine) => cluster.node(node).inventory.isSchedulable(machine)).length, 6);
    }
  });

  it('gets the reports of workers that can not reach it by way of another, and no task dies', async () => {
    await ready({ nodes: 3 }, 3);
    await cluster.submit({ ...service, taskCount: 3 });
    const [run] = cluster.runs('j-svc/0');
    const partitionLeader = cluster.node(0).leadership.leaderOf(cluster.node(0).workerManager.roleOf(run!.machineId));
    cluster.unreachable.add(`${run!.machineId}>${partitionLeader}`);
    cluster.network.fault({ from: partitionLeader, to: `${run!.machineId}:9000`, kind: 'lose' });
    await cluster.advance(40_000);
    assert.equal(cluster.runs('j-svc/0').length, 1);
    assert.equal(cluster.runs('j-svc/0')[0]!.to, undefined);
    assert.equal(body(await cluster.cancelJob('j-svc', 1)).state, 'cancelled');
    await cluster.advance(3000);
    assert.notEqual(cluster.runs('j-svc/0')[0]!.to, undefined, 'orders get there as well');
  });

  it('gives machines back that died while all nodes were down, long before their leases are proved over', async () => {
    await ready({ nodes: 3 }, 6);
    for (let n = 0; n < 6; n++) await cluster.submit({ ...service, id: `j-svc${n}`, taskCount: 1 });
    const [run] = cluster.runs('j-svc0/0');
    cluster.rememberWorkers();
    for (const node of [0, 1, 2]) cluster.crash(node);
    cluster.cut.add(run!.machineId);
    for (const node of [0, 1, 2]) cluster.start(node);
    await cluster.advance(20_000);
    assert.ok(cluster.cloud.returned.includes(run!.machineId));
    assert.equal(cluster.cloud.returned.length, 1);
    assert.equal(cluster.runs('j-svc0/0').length, 2);
    for (let n = 0; n < 6; n++) assert.equal(cluster.overlaps(`j-svc${n}/0`), 0);
  });

  it('goes on answering through an outage of the store, however long, and nothing dies', async () => {
    await ready({ nodes: 3 }, 3);
    await cluster.submit({ ...service, taskCount: 3 });
    cluster.store.out = true;
    await cluster.advance(60_000);
    cluster.store.endOutage();
    await cluster.advance(5000);
    for (const taskIndex of [0, 1, 2]) {
      const runs = cluster.runs(`j-svc/${taskIndex}`);
      assert.equal(runs.length, 1);
      assert.equal(runs[0]!.to, undefined);
    }
  });
});

describe('machines', () => {
  it('are rented for what has no place, once for each need, and another zone is tried when one is full', async () => {
    await ready({}, 0);
    cluster.cloud.full.add('a');
    await cluster.submit({ taskCount: 8 });
    await cluster.advance(20_000);
    const machineIds = [...cluster.cloud.rentals.values()].flat();
    assert.equal(machineIds.length, 2, '8 tasks of 2 CPUs on machines of 8');
    assert.ok([...cluster.cloud.machines.values()].every((machine) => machine.zone !== 'a'));
  });

  it('are not rented twice when the answer is lost', async () => {
    await ready({}, 0);
    cluster.network.fault({ to: 'cloud:1', path: /^\/rentals$/, kind: 'answerLost', times: 1 });
    await cluster.submit({ taskCount: 4 });
    await cluster.advance(25_000);
    assert.equal([...cluster.cloud.rentals.values()].flat().length, 1);
  });

  it('that are slow lose their batch work to others', async () => {
    await ready({}, 0);
    const slow = cluster.addWorker({ machineId: 'i-000001', runMs: 40_000 });
    cluster.addWorker({ machineId: 'i-000002', runMs: 5000, zone: 'b' });
    await cluster.advance(3000);
    // 16 tasks of 2 CPUs: four at a time on each; the other machine ends its share many times over.
    await cluster.submit({ id: 'j-slow', taskCount: 16 });
    await cluster.advance(32_000);
    assert.equal(body(await cluster.poll('j-slow')).state, 'done', 'long before the slow machine would be through');
    assert.ok(slow.history.length <= 5);
  });

  it('are not given back because their former owner, cut off from the store, calls them silent', async () => {
    await ready({ nodes: 3 }, 9);
    cluster.network.fault({ from: 'n0', to: 'store:1', kind: 'status', status: 503 });
    await cluster.advance(40_000);
    assert.deepEqual(cluster.cloud.returned, []);
  });

  it('behind a cut from their owner and from the leader are not given back, since a third node hears them', async () => {
    await ready({ nodes: 3 }, 6);
    const leader = Number(cluster.node(0).leadership.leaderOf('leader')!.slice(1));
    const far = (leader + 1) % 3;
    const machineIds = [...cluster.workers.keys()].filter(
      (machineId) =>
        cluster.node(0).leadership.leaderOf(cluster.node(0).workerManager.roleOf(machineId)) === `n${leader}`,
    );
    assert.ok(machineIds.length > 0);
    // One zone with these machines and a node can't reach the leader's; the third node hears both.
    for (const machineId of machineIds) cluster.unreachable.add(`${machineId}>n${leader}`);
    cluster.partitioned.add(`n${far}>n${leader}`).add(`n${leader}>n${far}`);
    await cluster.advance(30_000);
    assert.deepEqual(cluster.cloud.returned, []);
  });

  it('that fail all their tasks are told from jobs that do, and given back', async () => {
    await ready({}, 0);
    cluster.addWorker({ machineId: 'i-000001', runMs: 60_000, failsAllTasks: true });
    cluster.addWorker({ machineId: 'i-000002', runMs: 60_000, zone: 'b' });
    await cluster.advance(3000);
    for (let n = 0; n < 4; n++) await cluster.submit({ id: `j-s${n}`, taskCount: 2, cpus: 8 });
    await cluster.advance(15_000);
    assert.ok(cluster.cloud.returned.includes('i-000001'));
    assert.ok(!cluster.cloud.returned.includes('i-000002'));
  });
});

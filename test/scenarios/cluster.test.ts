import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { Cluster } from '../../testing/cluster.js';
import { C8, type ClusterOptions } from '../../testing/fixtures.js';
import { decodeJobStatus } from '../../testing/job-status-wire-codec.js';

let cluster: Cluster;
afterEach(() => assert.deepEqual(cluster.stopAndCheck(), []));

async function startCluster(options: ClusterOptions = {}, machines = 2): Promise<Cluster> {
  cluster = new Cluster(options);
  for (let index = 0; index < machines; index++) {
    cluster.addWorker({ machineId: `i-00000${index}`, zone: ['a', 'b', 'c'][index % 3]!, runMs: 5000 });
  }
  await cluster.advance(5000);
  return cluster;
}

const statusOf = (answer: { body: unknown }) => decodeJobStatus(answer.body);
const service = { id: 'j-svc', kind: 'service', priority: 'prod', estimatedRunS: 0, spreadAcrossZones: true } as const;

describe('jobs', () => {
  it('run to completion and stay known, also after all nodes have restarted', async () => {
    await startCluster();
    assert.equal((await cluster.submit({ taskCount: 3 })).status, 201);
    await cluster.advance(12_000);
    const status = statusOf(await cluster.poll('j-000001'));
    assert.deepEqual(status, { id: 'j-000001', state: 'done', done: 3, running: 0 });
    cluster.crash(0);
    cluster.start(0);
    await cluster.advance(6000);
    assert.equal(statusOf(await cluster.poll('j-000001')).state, 'done');
    const again = await cluster.submit({ taskCount: 3 });
    assert.equal(again.status, 200);
    assert.equal(statusOf(again).state, 'done');
    for (const taskIndex of [0, 1, 2]) assert.equal(cluster.runs(`j-000001/${taskIndex}`).length, 1);
  });

  it('with many tasks leave no placement records behind', async () => {
    await startCluster({ teams: [{ name: 'red' }], machineTypes: [{ ...C8, cpus: 1000, memoryGb: 10_000 }] }, 1);
    await cluster.submit({ id: 'j-big', taskCount: 1000, cpus: 1, memoryGb: 1 });
    await cluster.advance(40_000);
    assert.equal(statusOf(await cluster.poll('j-big')).state, 'done');
    await cluster.advance(3000);
    assert.deepEqual(
      [...cluster.store.rows.keys()].filter((key) => key.includes('j-big')),
      ['ended/j-big'],
    );
  });

  it('that nobody has submitted are unknown', async () => {
    await startCluster();
    assert.equal((await cluster.poll('j-nobody')).status, 404);
    assert.equal((await cluster.cancelJob('j-nobody')).status, 404);
  });

  it('that were cancelled are stopped, do not start again, and are cancelled at every node', async () => {
    await startCluster({ nodes: 3 }, 3);
    await cluster.submit({ ...service, taskCount: 3 });
    await cluster.advance(3000);
    assert.equal(statusOf(await cluster.cancelJob('j-svc', 1)).state, 'cancelled');
    for (const node of [0, 1, 2]) assert.equal(statusOf(await cluster.poll('j-svc', node)).state, 'cancelled');
    await cluster.advance(3000);
    for (const taskIndex of [0, 1, 2]) {
      const runs = cluster.runs(`j-svc/${taskIndex}`);
      assert.equal(runs.length, 1);
      assert.notEqual(runs[0]!.to, undefined);
    }
    assert.equal(statusOf(await cluster.submit({ ...service, taskCount: 3 }, 2)).state, 'cancelled');
  });

  it('are reported no older than by any other node, even by a node whose watch has missed a change', async () => {
    await startCluster({ nodes: 3 });
    await cluster.submit({ ...service, taskCount: 1 });
    // Node 2 receives no more changes from its watch.
    cluster.network.addFault({ from: 'n2', path: /^\/watch/, kind: 'lose' });
    await cluster.cancelJob('j-svc', 0);
    assert.equal(statusOf(await cluster.poll('j-svc', 2)).state, 'cancelled');
  });

  it('that can never run are refused with 4xx, others during a store outage with 503 and a retry delay', async () => {
    await startCluster({ teams: [{ name: 'red', cpus_max: 4 }] });
    assert.equal((await cluster.submit({ team: 'nobody' })).status, 422);
    assert.equal((await cluster.submit({ cpus: 100 })).status, 422);
    assert.equal((await cluster.submit({ ...service, taskCount: 3 })).status, 422, "over the team's limit");
    assert.equal((await cluster.submit({ id: 'x' })).status, 400);
    assert.equal((await cluster.submit({ taskCount: 0 })).status, 400);
    cluster.store.isUnavailable = true;
    const answer = await cluster.submit({});
    assert.equal(answer.status, 503);
    assert.ok((answer.retryAfter ?? 0) >= 1);
  });

  it('accepted in a transaction whose answer is lost are known when submitted again', async () => {
    await startCluster();
    cluster.network.addFault({ path: /^\/txn/, kind: 'answerLost', times: 1 });
    const first = await cluster.submit({ ...service, taskCount: 1 });
    assert.ok(first.status === 201 || first.status === 200 || first.status === 503);
    assert.equal((await cluster.submit({ ...service, taskCount: 1 })).status, 200);
  });
});

describe('a task', () => {
  it('of a dead machine starts on another machine once the cloud has confirmed that the dead one is gone', async () => {
    await startCluster({}, 3);
    await cluster.submit({ ...service, taskCount: 1 });
    const [run] = cluster.runs('j-svc/0');
    cluster.rememberWorkers();
    cluster.disconnected.add(run!.machineId);
    await cluster.advance(9000);
    assert.ok(cluster.cloud.returnedMachineIds.includes(run!.machineId));
    assert.equal(cluster.runs('j-svc/0').length, 2);
    assert.equal(cluster.countOverlaps('j-svc/0'), 0);
  });

  it('of a machine that is cut off during a cloud outage starts again only after the lease has expired', async () => {
    await startCluster({}, 3);
    await cluster.submit({ ...service, taskCount: 1 });
    const [run] = cluster.runs('j-svc/0');
    cluster.network.addFault({ to: 'cloud:1', kind: 'status', status: 503, body: { error: 'trouble' } });
    cluster.disconnected.add(run!.machineId);
    await cluster.advance(8000);
    assert.equal(cluster.runs('j-svc/0').length, 1, 'it may still run on the first machine');
    await cluster.advance(8000);
    assert.equal(cluster.runs('j-svc/0').length, 2);
    assert.equal(cluster.countOverlaps('j-svc/0'), 0);
  });

  it('whose launch is delayed runs only once, since it is not forgotten while the launch may still arrive', async () => {
    await startCluster({}, 1);
    const worker = cluster.workers.get('i-000000')!;
    const heal = cluster.network.addFault({ to: worker.endpoint, path: /^\/commands/, kind: 'hold' });
    await cluster.submit({ id: 'j-late' });
    await cluster.advance(9000);
    heal();
    // Whether the held copy arrives before or after the task was done, recorded and forgotten, it starts no second run.
    cluster.network.deliverHeld();
    await cluster.advance(5000);
    assert.equal(cluster.runs('j-late/0').length, 1);
    assert.equal(statusOf(await cluster.poll('j-late')).state, 'done');
  });

  it('that fails on every machine is retried with increasing delays, so that it starves no other task', async () => {
    await startCluster({ cluster: {} }, 1);
    cluster.workers.get('i-000000')!.options.failsAllTasks = true;
    await cluster.submit({ ...service, taskCount: 1 });
    await cluster.advance(20_000);
    const tries = cluster.runs('j-svc/0').length;
    assert.ok(tries >= 1 && tries < 8, `${tries} tries`);
  });

  it('never takes a team over its limit, whichever node accepts its job', async () => {
    await startCluster({ nodes: 3, teams: [{ name: 'red', cpus: 4, cpus_max: 6 }] }, 3);
    for (let n = 0; n < 4; n++) {
      await cluster.submit({ id: `j-q${n}`, taskCount: 4 }, n % 3);
      const running = [...cluster.workers.values()].flatMap((worker) =>
        [...worker.tasks.values()].filter((task) => task.state === 'running'),
      );
      assert.ok(running.length <= 3, `${running.length} tasks of 2 CPUs`);
    }
    await cluster.advance(60_000);
    for (let n = 0; n < 4; n++) assert.equal(statusOf(await cluster.poll(`j-q${n}`)).state, 'done');
    const team = cluster.store.rows.get('live/team/red')?.value as { cpus: number };
    assert.equal(team.cpus, 0);
  });

  it('shares a machine with another task of its job only if there is no other machine', async () => {
    await startCluster({}, 4);
    await cluster.submit({ ...service, taskCount: 4 });
    const counts = [...cluster.workers.values()].map((worker) => worker.tasks.size);
    assert.deepEqual(counts, [1, 1, 1, 1]);
  });

  it('of a spread service is placed so that no zone holds more than half of the tasks, rounded up', async () => {
    await startCluster({}, 3);
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

  it('starts all its tasks or none, and all under one attempt', async () => {
    await startCluster({ teams: [{ name: 'red' }] }, 2);
    await cluster.submit(gang);
    await cluster.advance(3000);
    assert.equal([...cluster.workers.values()].flatMap((worker) => worker.history).length, 0);
    cluster.addWorker({ machineId: 'i-000009', runMs: 5000 });
    await cluster.advance(4000);
    const runs = [...cluster.workers.values()].flatMap((worker) => worker.history);
    assert.equal(runs.length, 10);
    assert.deepEqual([...new Set(runs.map((run) => run.attempt))], [1]);
  });

  it('bound to a single zone stays there, and starts its next attempt only after all tasks of the last one have ended', async () => {
    await startCluster({ teams: [{ name: 'red' }] }, 3);
    cluster.addWorker({ machineId: 'i-000007', zone: 'b' });
    cluster.addWorker({ machineId: 'i-000008', zone: 'b' });
    await cluster.advance(3000);
    await cluster.submit({ ...gang, id: 'j-svc-gang', taskCount: 6, singleZone: true });
    const started = [...cluster.workers.values()].filter((worker) => worker.history.length > 0);
    assert.deepEqual([...new Set(started.map((worker) => worker.options.zone))], ['b']);
    // One member's machine is cut off: while the others may still run, nothing starts in another zone or attempt.
    cluster.rememberWorkers();
    cluster.network.addFault({ to: 'cloud:1', kind: 'status', status: 503, body: { error: 'trouble' } });
    cluster.disconnected.add(started[0]!.options.machineId);
    await cluster.advance(40_000);
    for (let taskIndex = 0; taskIndex < 6; taskIndex++)
      assert.equal(cluster.countOverlaps(`j-svc-gang/${taskIndex}`), 0);
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
    await startCluster({ teams: [{ name: 'red' }] }, 3);
    cluster.workers.get('i-000002')!.options.imageMs = 15_000;
    await cluster.submit({ ...gang, cpus: 4 });
    const waiting = taskIds.filter((name) => cluster.runs(name).length > 0);
    assert.equal(waiting.length, 4, 'the other two fetch their image');
    const lost = waiting.filter((name) => cluster.runs(name)[0]!.machineId === cluster.runs(waiting[0]!)[0]!.machineId);
    cluster.rememberWorkers();
    cluster.addWorker({ machineId: 'i-000009' });
    cluster.disconnected.add(cluster.runs(waiting[0]!)[0]!.machineId);
    await cluster.advance(25_000);
    for (const name of taskIds) {
      const runs = cluster.runs(name);
      assert.equal(runs.length, lost.includes(name) ? 2 : 1);
      assert.ok(runs.every((run) => run.attempt === 1));
      assert.equal(cluster.countOverlaps(name), 0);
    }
  });

  it('all stop within seconds of each other when one of their machines gets a spot notice', async () => {
    await startCluster({ nodes: 3, teams: [{ name: 'red' }] }, 3);
    await cluster.submit(gang);
    cluster.workers.get(cluster.runs(taskIds[0]!)[0]!.machineId)!.spotNoticeS = 20;
    await cluster.advance(6000);
    const ends = taskIds.map((name) => cluster.runs(name)[0]!.to ?? Infinity);
    assert.ok(Math.max(...ends) - Math.min(...ends) < 4000, ends.join(' '));
  });
});

describe('a team', () => {
  it('gets its guaranteed capacity back from a team that has borrowed it', async () => {
    await startCluster(
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
    cluster.cloud.fullZones.add('a').add('b').add('c');
    await cluster.advance(3000);
    await cluster.submit({ id: 'j-r1', taskCount: 8 });
    await cluster.submit({ id: 'j-b1', team: 'blue', taskCount: 4 });
    await cluster.advance(3000);
    const running = (jobId: string) =>
      [...cluster.workers.values()].flatMap((worker) =>
        [...worker.tasks].filter(([name, task]) => name.startsWith(jobId) && task.state === 'running'),
      ).length;
    assert.equal(running('j-b1'), 4);
    assert.equal(running('j-r1'), 4, 'no more than the guarantee is taken back');
  });
});

describe('a guarantee', () => {
  it('of GPUs preempts no task that needs none', async () => {
    const teams = [
      { name: 'red', gpus: 2 },
      { name: 'blue', gpus: 2 },
    ];
    await startCluster({ teams, machineTypes: [{ ...C8, gpus: 4 }] }, 0);
    cluster.addWorker({ machineId: 'i-000001' });
    cluster.cloud.fullZones.add('a').add('b').add('c');
    await cluster.advance(3000);
    await cluster.submit({ id: 'j-cards', cpus: 1, gpus: 1, taskCount: 4 });
    await cluster.submit({ ...service, taskCount: 2, spreadAcrossZones: false });
    // No capacity is left, and red uses more GPUs than its guarantee: blue's batch job without GPUs must wait all the same.
    await cluster.submit({ id: 'j-blue', team: 'blue', taskCount: 2 });
    await cluster.advance(5000);
    assert.equal(cluster.runs('j-svc/0')[0]!.to, undefined);
    assert.equal(cluster.runs('j-svc/1')[0]!.to, undefined);
    assert.equal(cluster.runs('j-blue/0').length, 0);
  });
});

describe('a node', () => {
  it('that crashes is replaced as partition leader, and the tasks of its partition keep running', async () => {
    await startCluster({ nodes: 3 }, 3);
    await cluster.submit({ ...service, taskCount: 3 });
    cluster.crash(0);
    await cluster.advance(9000);
    assert.deepEqual(cluster.node(1).leadership.leaderOf('part-0') !== 'n0', true);
    for (const taskIndex of [0, 1, 2]) assert.equal(cluster.runs(`j-svc/${taskIndex}`)[0]!.to, undefined);
    cluster.start(0);
    await cluster.advance(12_000);
    assert.equal(cluster.node(1).leadership.leaderOf('part-0'), 'n0', 'the partition returns to its preferred node');
    for (const taskIndex of [0, 1, 2]) assert.equal(cluster.runs(`j-svc/${taskIndex}`).length, 1);
  });

  it('that restarts immediately acquires its own partition at once, with a higher fencing token', async () => {
    await startCluster({ nodes: 3 });
    const fencingToken = cluster.node(0).leadership.leadershipOf('part-0')!.fencingToken;
    cluster.crash(0);
    cluster.start(0);
    await cluster.advance(1500);
    assert.ok(cluster.node(0).leadership.leadershipOf('part-0')!.fencingToken > fencingToken);
  });

  it('that alone does not reach the store stops serving while its peers reach it, and one of them takes over', async () => {
    await startCluster({ nodes: 3 }, 3);
    cluster.network.addFault({ from: 'n0', to: 'store:1', kind: 'status', status: 503 });
    await cluster.advance(6000);
    assert.equal(cluster.node(0).leadership.servingLeadershipOf('part-0'), undefined);
    assert.equal(cluster.node(0).answerHealthCheck().status, 503);
    await cluster.advance(4000);
    assert.ok(['n1', 'n2'].includes(cluster.node(1).leadership.leaderOf('part-0')!));
  });

  it('cut off from the store and its peers serves no longer than the cancellation deadline allows', async () => {
    await startCluster({ nodes: 3 }, 3);
    cluster.network.addFault({ from: 'n0', to: 'store:1', kind: 'lose' });
    for (const pair of ['n0>n1', 'n0>n2', 'n1>n0', 'n2>n0']) cluster.partitioned.add(pair);
    await cluster.advance(15_000);
    assert.notEqual(cluster.node(0).leadership.servingLeadershipOf('part-0'), undefined);
    await cluster.advance(12_000);
    assert.equal(cluster.node(0).leadership.servingLeadershipOf('part-0'), undefined);
  });

  it('learns of machines through a third node when it receives nothing from their partition leader', async () => {
    await startCluster({ nodes: 3 }, 6);
    for (const pair of ['n0>n1', 'n1>n0']) cluster.partitioned.add(pair);
    await cluster.advance(20_000);
    for (const node of [0, 1]) {
      const known = [...cluster.node(node).inventory.machines().values()];
      assert.equal(known.filter((machine) => cluster.node(node).inventory.isSchedulable(machine)).length, 6);
    }
  });

  it('gets the heartbeats of workers that cannot reach it through another node, and no task ends', async () => {
    await startCluster({ nodes: 3 }, 3);
    await cluster.submit({ ...service, taskCount: 3 });
    const [run] = cluster.runs('j-svc/0');
    const partitionLeader = cluster.node(0).leadership.leaderOf(cluster.node(0).workerManager.roleOf(run!.machineId));
    cluster.unreachable.add(`${run!.machineId}>${partitionLeader}`);
    cluster.network.addFault({ from: partitionLeader, to: `${run!.machineId}:9000`, kind: 'lose' });
    await cluster.advance(40_000);
    assert.equal(cluster.runs('j-svc/0').length, 1);
    assert.equal(cluster.runs('j-svc/0')[0]!.to, undefined);
    assert.equal(statusOf(await cluster.cancelJob('j-svc', 1)).state, 'cancelled');
    await cluster.advance(3000);
    assert.notEqual(cluster.runs('j-svc/0')[0]!.to, undefined, 'commands reach the worker as well');
  });

  it('returns a machine that died while all nodes were down, long before its lease is proved to have expired', async () => {
    await startCluster({ nodes: 3 }, 6);
    for (let n = 0; n < 6; n++) await cluster.submit({ ...service, id: `j-svc${n}`, taskCount: 1 });
    const [run] = cluster.runs('j-svc0/0');
    cluster.rememberWorkers();
    for (const node of [0, 1, 2]) cluster.crash(node);
    cluster.disconnected.add(run!.machineId);
    for (const node of [0, 1, 2]) cluster.start(node);
    await cluster.advance(20_000);
    assert.ok(cluster.cloud.returnedMachineIds.includes(run!.machineId));
    assert.equal(cluster.cloud.returnedMachineIds.length, 1);
    assert.equal(cluster.runs('j-svc0/0').length, 2);
    for (let n = 0; n < 6; n++) assert.equal(cluster.countOverlaps(`j-svc${n}/0`), 0);
  });

  it('keeps serving through a store outage, however long, and no task ends', async () => {
    await startCluster({ nodes: 3 }, 3);
    await cluster.submit({ ...service, taskCount: 3 });
    cluster.store.isUnavailable = true;
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
  it('are rented once for tasks without a machine, in another zone if one has no capacity', async () => {
    await startCluster({}, 0);
    cluster.cloud.fullZones.add('a');
    await cluster.submit({ taskCount: 8 });
    await cluster.advance(20_000);
    const machineIds = [...cluster.cloud.rentals.values()].flat();
    assert.equal(machineIds.length, 2, '8 tasks of 2 CPUs on machines of 8');
    assert.ok([...cluster.cloud.machines.values()].every((machine) => machine.zone !== 'a'));
  });

  it('are not rented twice when the answer of the cloud is lost', async () => {
    await startCluster({}, 0);
    cluster.network.addFault({ to: 'cloud:1', path: /^\/rentals$/, kind: 'answerLost', times: 1 });
    await cluster.submit({ taskCount: 4 });
    await cluster.advance(25_000);
    assert.equal([...cluster.cloud.rentals.values()].flat().length, 1);
  });

  it('that are slow lose batch tasks to other machines', async () => {
    await startCluster({}, 0);
    const slow = cluster.addWorker({ machineId: 'i-000001', runMs: 40_000 });
    cluster.addWorker({ machineId: 'i-000002', runMs: 5000, zone: 'b' });
    await cluster.advance(3000);
    // 16 tasks of 2 CPUs, four at a time on each machine; the fast machine finishes its share many times over.
    await cluster.submit({ id: 'j-slow', taskCount: 16 });
    await cluster.advance(32_000);
    assert.equal(
      statusOf(await cluster.poll('j-slow')).state,
      'done',
      'long before the slow machine would have finished its share',
    );
    assert.ok(slow.history.length <= 5);
  });

  it('are not returned because their former leader, cut off from the store, reports them as silent', async () => {
    await startCluster({ nodes: 3 }, 9);
    cluster.network.addFault({ from: 'n0', to: 'store:1', kind: 'status', status: 503 });
    await cluster.advance(40_000);
    assert.deepEqual(cluster.cloud.returnedMachineIds, []);
  });

  it('that do not reach their partition leader, which also leads the cluster, are not returned while other nodes hear them', async () => {
    await startCluster({ nodes: 3 }, 6);
    const leader = Number(cluster.node(0).leadership.leaderOf('leader')!.slice(1));
    const farNode = (leader + 1) % 3;
    const machineIds = [...cluster.workers.keys()].filter(
      (machineId) =>
        cluster.node(0).leadership.leaderOf(cluster.node(0).workerManager.roleOf(machineId)) === `n${leader}`,
    );
    assert.ok(machineIds.length > 0);
    // These machines and one node can't reach the leader's node; the third node reaches both sides.
    for (const machineId of machineIds) cluster.unreachable.add(`${machineId}>n${leader}`);
    cluster.partitioned.add(`n${farNode}>n${leader}`).add(`n${leader}>n${farNode}`);
    await cluster.advance(30_000);
    assert.deepEqual(cluster.cloud.returnedMachineIds, []);
  });

  it('that fail all their tasks are distinguished from jobs that fail everywhere, and returned', async () => {
    await startCluster({}, 0);
    cluster.addWorker({ machineId: 'i-000001', runMs: 60_000, failsAllTasks: true });
    cluster.addWorker({ machineId: 'i-000002', runMs: 60_000, zone: 'b' });
    await cluster.advance(3000);
    for (let n = 0; n < 4; n++) await cluster.submit({ id: `j-s${n}`, taskCount: 2, cpus: 8 });
    await cluster.advance(15_000);
    assert.ok(cluster.cloud.returnedMachineIds.includes('i-000001'));
    assert.ok(!cluster.cloud.returnedMachineIds.includes('i-000002'));
  });
});

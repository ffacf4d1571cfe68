import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { Cluster } from '../../testing/cluster.js';
import { type ClusterOptions, jobOf } from '../../testing/fixtures.js';
import { decodeJobState } from '../../testing/job-status-wire-codec.js';

let cluster: Cluster;
/** Every scenario ends with the result of the invariant checker. */
afterEach(() => assert.deepEqual(cluster.stopAndCheck(), []));

async function startCluster(machines: number, options: ClusterOptions = { nodes: 3 }, runMs = 5000): Promise<Cluster> {
  cluster = new Cluster(options);
  for (let index = 0; index < machines; index++) {
    cluster.addWorker({ machineId: `i-00000${index}`, zone: ['a', 'b', 'c'][index % 3]!, runMs });
  }
  await cluster.advance(6000);
  return cluster;
}

const service = { id: 'j-svc', kind: 'service', priority: 'prod', estimatedRunS: 0, taskCount: 1 } as const;
const currentMachine = (name: string) => cluster.runs(name).at(-1)!.machineId;
const stateOf = (answer: { body: unknown }) => decodeJobState(answer.body);
const isSchedulable = (node: number, machineId: string) => {
  const machine = cluster.node(node).inventory.get(machineId);
  return machine !== undefined && cluster.node(node).inventory.isSchedulable(machine);
};

describe('a machine that cannot open connections, though commands reach it', () => {
  it('gets no new tasks on account of its answers to commands, and its service moves to another machine once', async () => {
    await startCluster(2);
    await cluster.submit(service);
    const machineId = currentMachine('j-svc/0');
    const machine = cluster.workers.get(machineId)!;
    cluster.rememberWorkers();
    const since = cluster.clock.now();
    cluster.outboundLoss.add(machineId);
    for (let second = 0; second < 40; second++) {
      // A job goes to every machine that counts as schedulable, and the answer to each command is a heartbeat as well.
      void cluster.post(jobOf({ id: `j-${second}`, taskCount: 1, cpus: 1 }), second % 3);
      await cluster.advance(1000);
    }
    assert.deepEqual(
      machine.history.filter((run) => run.from > since + 5000),
      [],
    );
    assert.equal(isSchedulable(0, machineId), false);
    assert.ok(cluster.cloud.returnedMachineIds.includes(machineId), 'returned');
    const runs = cluster.runs('j-svc/0');
    assert.equal(runs.length, 2);
    assert.ok(runs[1]!.from - since < 16_000, `${runs[1]!.from - since} ms`);
    for (let second = 0; second < 30; second++) {
      assert.equal(cluster.countOverlaps(`j-${second}/0`), 0);
      assert.equal(stateOf(await cluster.poll(`j-${second}`)), 'done');
    }
  });

  it('gets a cancellation by a command, long before its lease expires', async () => {
    await startCluster(3);
    await cluster.submit(service);
    const machineId = currentMachine('j-svc/0');
    cluster.outboundLoss.add(machineId);
    await cluster.advance(4500);
    const asked = cluster.clock.now();
    assert.equal(stateOf(await cluster.cancelJob('j-svc', 1)), 'cancelled');
    const [run] = cluster.runs('j-svc/0');
    assert.ok((run!.to ?? Infinity) - asked < 1000, `${run!.to} after ${asked}`);
    assert.ok(
      cluster.store.rows.has('ended/j-svc'),
      'the answer to the command is a heartbeat: the placement is released',
    );
  });

  it('keeps the placement of a task that was killed there until its exit is proved', async () => {
    await startCluster(3, { nodes: 3, teams: [{ name: 'red', cpus_max: 2 }] });
    await cluster.submit(service);
    const machineId = currentMachine('j-svc/0');
    cluster.rememberWorkers();
    cluster.network.addFault({ to: 'cloud:1', kind: 'status', status: 503, body: { error: 'trouble' } });
    const since = cluster.clock.now();
    cluster.outboundLoss.add(machineId);
    // The kill arrives but its answer is lost: no controller knows that the task has ended.
    cluster.network.addFault({ to: `${machineId}:9000`, kind: 'answerLost' });
    await cluster.advance(1000);
    await cluster.submit({ ...service, id: 'j-svc2' });
    assert.equal(stateOf(await cluster.cancelJob('j-svc', 1)), 'cancelled');
    const [run] = cluster.runs('j-svc/0');
    assert.notEqual(run!.to, undefined);
    await cluster.advance(2000);
    assert.equal(cluster.store.rows.has('ended/j-svc'), false);
    assert.equal(cluster.runs('j-svc2/0').length, 0, 'the team is still at its limit');
    await cluster.advance(8000);
    assert.ok(cluster.store.rows.has('ended/j-svc'), 'its lease has expired');
    const [next] = cluster.runs('j-svc2/0');
    assert.ok(next!.from - since > 10_000 && next!.from - since < 14_000, `${next!.from - since} ms`);
  });
});

describe('a launch command that is delayed', () => {
  it('starts a task for a few seconds at most, if its job is cancelled before the machine resumes', async () => {
    await startCluster(1);
    const machine = cluster.workers.get('i-000000')!;
    machine.suspend();
    void cluster.post(jobOf(service));
    await cluster.advance(600);
    assert.equal(stateOf(await cluster.cancelJob('j-svc', 1)), 'cancelled');
    machine.resume();
    await cluster.advance(10_000);
    const [run] = cluster.runs('j-svc/0');
    // A worker waits 5 s for an answer that does not come before it reports again.
    assert.ok(run!.to! - run!.from < 6500, 'killed by the next answer');
    assert.equal(cluster.checker.lateStarts.length, 1);
    assert.equal(cluster.runs('j-svc/0').length, 1);
    assert.ok(cluster.store.rows.has('ended/j-svc'));
  });

  it('is refused by a worker that has seen the new token, and its placement is released only then', async () => {
    await startCluster(1);
    const host = 'i-000000';
    cluster.network.addFault({ to: 'cloud:1', kind: 'status', status: 503, body: { error: 'trouble' } });
    cluster.outboundLoss.add(host);
    const deliver = cluster.network.holdMessages({ to: `${host}:9000` });
    void cluster.post(jobOf(service));
    await cluster.advance(600);
    assert.equal(stateOf(await cluster.cancelJob('j-svc', 1)), 'cancelled');
    assert.equal(cluster.store.rows.has('ended/j-svc'), false, 'the launch may still arrive');
    cluster.outboundLoss.delete(host);
    await cluster.advance(4000);
    assert.ok(cluster.store.rows.has('ended/j-svc'));
    deliver();
    await cluster.advance(3000);
    assert.equal(cluster.runs('j-svc/0').length, 0);
  });

  it('ends no other task of its machine while the store grants new tokens, however short the cancellation deadline is', async () => {
    const workers = { report_s: 1, lease_s: 10, gang_wait_s: 30, gang_peer_s: 4, cancel_s: 16 };
    await startCluster(1, { nodes: 3, cluster: { workers } });
    await cluster.submit({ ...service, id: 'j-svc-old' });
    cluster.network.addFault({ to: 'i-000000:9000', kind: 'hold' });
    void cluster.post(jobOf(service));
    await cluster.advance(200);
    assert.equal(stateOf(await cluster.cancelJob('j-svc', 1)), 'cancelled');
    await cluster.advance(30_000);
    assert.equal(cluster.runs('j-svc-old/0').length, 1);
    assert.equal(cluster.runs('j-svc-old/0')[0]!.to, undefined);
  });

  it('starts no task after a store outage in which the partition leader gets no new token', async () => {
    await startCluster(1);
    const host = 'i-000000';
    cluster.outboundLoss.add(host);
    const deliver = cluster.network.holdMessages({ to: `${host}:9000` });
    void cluster.post(jobOf(service));
    await cluster.advance(600);
    void cluster.requestCancellation('j-svc', 1);
    await cluster.advance(300);
    cluster.store.isUnavailable = true;
    cluster.outboundLoss.delete(host);
    await cluster.advance(60_000);
    deliver();
    await cluster.advance(5000);
    cluster.store.endOutage();
    await cluster.advance(8000);
    assert.equal(cluster.runs('j-svc/0').length, 0);
    assert.ok(cluster.store.rows.has('ended/j-svc'));
  });

  it('is not executed after the lease has expired, and a cancelled task does not continue after its machine hung', async () => {
    await startCluster(2);
    cluster.network.addFault({ to: 'cloud:1', kind: 'status', status: 503, body: { error: 'trouble' } });
    for (const hangMs of [8000, 14_000]) {
      const jobId = `j-svc-${hangMs}`;
      await cluster.submit({ ...service, id: jobId });
      const machineId = currentMachine(`${jobId}/0`);
      const machine = cluster.workers.get(machineId)!;
      machine.suspend();
      void cluster.requestCancellation(jobId, 1);
      // Launches are in flight to the machine as well.
      for (let n = 0; n < 4; n++) void cluster.post(jobOf({ id: `j-${hangMs}-${n}`, taskCount: 2 }), n % 3);
      await cluster.advance(hangMs);
      machine.resume();
      await cluster.advance(2000);
      assert.notEqual(cluster.runs(`${jobId}/0`)[0]!.to, undefined);
      await cluster.advance(30_000);
      for (let n = 0; n < 4; n++) assert.equal(stateOf(await cluster.poll(`j-${hangMs}-${n}`)), 'done');
    }
  });
});

const partitionOf = (name: string) => cluster.node(0).leadership.partitionOf(name);
const placementsJson = (jobId: string) =>
  JSON.stringify(cluster.store.rows.get(`live/ledger/${jobId}/0000`)?.value ?? '');
const until = (condition: () => boolean, ms = 20_000) => cluster.until(condition, ms);

describe('a machine that returns just when its lease is proved to have expired', () => {
  it('keeps the task that was placed there again, though the proof is recorded twice', async () => {
    await startCluster(3);
    cluster.network.addFault({ to: 'cloud:1', kind: 'status', status: 503, body: { error: 'trouble' } });
    // The job is placed by another node than the machine's partition leader.
    const leader = cluster.node(0).leadership.leaderOf('leader');
    const machineIds = [...cluster.workers.keys()];
    const machineId = machineIds.find((each) => `n${partitionOf(each)}` !== leader)!;
    const others = machineIds.filter((each) => each !== machineId);
    const jobId = ['j-svc1', 'j-svc2', 'j-svc3', 'j-svc4'].find(
      (each) => partitionOf(each) !== partitionOf(machineId),
    )!;
    for (const other of others) cluster.workers.get(other)!.spotNoticeS = 1000;
    await cluster.advance(2000);
    await cluster.submit({ ...service, id: jobId, priority: 'high' });
    assert.equal(currentMachine(`${jobId}/0`), machineId);
    cluster.outboundLoss.add(machineId);
    await cluster.advance(8500);
    const partitionLeader = partitionOf(machineId);
    // The proof is recorded, but the answer is lost: the partition leader tries again later.
    cluster.network.addFault({
      from: `n${partitionLeader}`,
      to: 'store:1',
      path: /^\/txn/,
      kind: 'answerLost',
      times: 1,
    });
    await until(() => !placementsJson(jobId).includes(machineId));
    cluster.outboundLoss.delete(machineId);
    // In the meantime the machine has returned with a new agent epoch.
    const machine = cluster.workers.get(machineId)!;
    for (let report = 0; report < 2; report++) {
      void cluster.node(partitionLeader).answerHeartbeat(machine.composeHeartbeat());
      await cluster.advance(report === 0 ? 490 : 0);
    }
    // The partition leader learns late what has become of the placement.
    const heal = cluster.network.addFault({
      from: `n${partitionLeader}`,
      to: 'store:1',
      path: /^\/watch/,
      kind: 'lose',
    });
    await until(() => cluster.runs(`${jobId}/0`).length === 2, 1500);
    heal();
    for (const other of others) cluster.workers.get(other)!.spotNoticeS = null;
    await cluster.advance(12_000);
    const runs = cluster.runs(`${jobId}/0`);
    assert.equal(runs.length, 2);
    assert.equal(cluster.countOverlaps(`${jobId}/0`), 0);
    assert.equal(runs[1]!.machineId, machineId);
  });
});

describe('a node that takes over a partition before it has read the last changes of the former leader', () => {
  it('starts no task there that has moved to another machine', async () => {
    await startCluster(3);
    // The partition's preferred node is down, and another one leads it.
    const machineId = [...cluster.workers.keys()].find(
      (each) => `n${partitionOf(each)}` !== cluster.node(0).leadership.leaderOf('leader'),
    )!;
    const home = partitionOf(machineId);
    const role = `part-${home}`;
    cluster.crash(home);
    const others = [0, 1, 2].filter((node) => node !== home);
    await cluster.advance(8000);
    const former = Number(cluster.node(others[0]!).leadership.leaderOf(role)!.slice(1));
    assert.notEqual(former, home);
    for (const other of cluster.workers.keys()) if (other !== machineId) cluster.workers.get(other)!.spotNoticeS = 1000;
    await cluster.advance(2000);
    await cluster.submit({ ...service, priority: 'high' }, former);
    assert.equal(currentMachine('j-svc/0'), machineId);
    for (const other of cluster.workers.keys()) if (other !== machineId) cluster.workers.get(other)!.spotNoticeS = null;
    // It checks its replica every 0.8 s from its start on: the last check before its watch is lost must count for long enough.
    await cluster.advance(2600);
    cluster.start(home);
    await cluster.advance(700);
    cluster.workers.get(machineId)!.spotNoticeS = 1000;
    const leads = Number(cluster.node(former).leadership.leaderOf('leader')!.slice(1));
    await until(() => cluster.node(leads).inventory.get(machineId)!.spotTerminationAt !== null);
    // From here on it misses all changes: the task is stopped, forgotten, and starts on another machine.
    const heal = cluster.network.addFault({ from: `n${home}`, to: 'store:1', path: /^\/watch/, kind: 'lose' });
    for (const node of others) cluster.partitioned.add(`n${node}>n${home}`);
    await until(() => cluster.runs('j-svc/0').length === 2 && !cluster.workers.get(machineId)!.tasks.has('j-svc/0'));
    for (const node of others) cluster.partitioned.delete(`n${node}>n${home}`);
    void cluster.node(former).leadership.release(role, 'for the scenario', 15_000);
    await until(() => cluster.node(home).leadership.leadershipOf(role) !== undefined, 1000);
    assert.ok(cluster.node(home).leadership.hasRecentStoreContact);
    await cluster.advance(1000);
    heal();
    await cluster.advance(5000);
    assert.equal(cluster.runs('j-svc/0').length, 2);
    assert.equal(cluster.countOverlaps('j-svc/0'), 0);
  });
});

describe('a late copy of a heartbeat', () => {
  for (const restarts of [false, true]) {
    it(`from before a launch proves no exit, ${restarts ? 'even at a partition leader that has just restarted' : 'at whatever node it arrives'}`, async () => {
      await startCluster(2, { nodes: 3, teams: [{ name: 'red', cpus_max: 2 }] });
      cluster.network.addFault({ to: 'cloud:1', kind: 'status', status: 503, body: { error: 'trouble' } });
      const copies = new Map([...cluster.workers].map(([id, worker]) => [id, worker.composeHeartbeat()]));
      await cluster.submit(service);
      const machineId = currentMachine('j-svc/0');
      const partitionLeader = partitionOf(machineId);
      const copy = copies.get(machineId)!;
      cluster.disconnected.add(machineId);
      void cluster.requestCancellation('j-svc', partitionLeader);
      await cluster.advance(50);
      void cluster.post(jobOf({ ...service, id: 'j-svc2' }), partitionLeader);
      if (restarts) {
        void cluster.restart(partitionLeader);
        await cluster.advance(300);
        assert.notEqual(cluster.node(partitionLeader).leadership.leadershipOf(`part-${partitionLeader}`), undefined);
      }
      for (const node of [0, 1, 2]) void cluster.node(node).answerHeartbeat(copy);
      const payload = { node: `n${(partitionLeader + 1) % 3}`, id: 1, status: JSON.stringify(copy) };
      cluster.node(partitionLeader).receive({ kind: 'forwarded_heartbeat', payload });
      await cluster.advance(5000);
      assert.equal(cluster.runs('j-svc2/0').length, 0, 'the team is at its limit');
      cluster.disconnected.delete(machineId);
      await cluster.advance(15_000);
      assert.notEqual(cluster.runs('j-svc/0')[0]!.to, undefined);
      assert.equal(cluster.runs('j-svc2/0').length, 1);
    });
  }

  it('releases no gang member that was started there again under the same attempt', async () => {
    await startCluster(4, { nodes: 3, teams: [{ name: 'red' }] });
    // The gang waits until the image of its last task is fetched.
    cluster.addWorker({ machineId: 'i-000004', imageMs: 60_000 });
    await cluster.advance(3000);
    const gang = { id: 'j-svc-g', kind: 'gang', priority: 'high', taskCount: 5, cpus: 8, estimatedRunS: 30 } as const;
    await cluster.submit(gang);
    const first = [0, 1, 2, 3, 4].find((taskIndex) => cluster.runs(`j-svc-g/${taskIndex}`).length > 0)!;
    const name = `j-svc-g/${first}`;
    const machineId = currentMachine(name);
    const machine = cluster.workers.get(machineId)!;
    machine.end(name, 'insufficient_resources');
    const copy = JSON.parse(JSON.stringify(machine.composeHeartbeat())) as unknown;
    await until(() => cluster.runs(name).length === 2, 20_000);
    assert.deepEqual([currentMachine(name), cluster.runs(name)[1]!.attempt], [machineId, 1]);
    cluster.addWorker({ machineId: 'i-000009' });
    await cluster.advance(2000);
    // A new leader receives the copy before any heartbeat of the machine, which no answer or command reaches for a while.
    cluster.network.addFault({ to: 'cloud:1', kind: 'status', status: 503, body: { error: 'trouble' } });
    const partitionLeader = partitionOf(machineId);
    cluster.inboundLoss.add(machineId);
    cluster.outboundLoss.add(machineId);
    void cluster.restart(partitionLeader);
    await until(() => cluster.node(partitionLeader).leadership.leadershipOf(`part-${partitionLeader}`) !== undefined);
    await cluster.advance(500);
    void cluster.node(partitionLeader).answerHeartbeat(copy);
    await cluster.advance(8500);
    assert.equal(cluster.runs(name).length, 2);
  });
});

describe('copies of all heartbeats, up to a lease and a half late', () => {
  it('release no placement wrongly and keep no job waiting, while nodes restart and jobs are cancelled', async () => {
    await startCluster(6, { nodes: 3, teams: [{ name: 'red', cpus_max: 10 }] });
    cluster.lateHeartbeats = { share: 1, lateMs: [2000, 15_000] };
    await cluster.submit({ ...service, id: 'j-svc', taskCount: 2, cpus: 1 });
    for (let round = 0; round < 8; round++) {
      void cluster.post(jobOf({ id: `j-a${round}`, taskCount: 6, cpus: 1 }), round % 3);
      void cluster.post(jobOf({ ...service, id: `j-svc${round}`, taskCount: 2 }), (round + 1) % 3);
      await cluster.advance(2500);
      void cluster.requestCancellation(`j-svc${round}`, (round + 1) % 3);
      // Tasks are moved and agent epochs end as well, so the copies are older than the current state of the machines.
      for (const worker of cluster.workers.values()) worker.spotNoticeS = null;
      cluster.workers.get(currentMachine('j-svc/0'))!.spotNoticeS = 1000;
      if (round % 3 === 1) cluster.outboundLoss.add([...cluster.workers.keys()][0]!);
      await cluster.advance(500);
      void cluster.restart(round % 3, 0);
      await cluster.advance(1500);
      if (round % 3 === 0) cluster.outboundLoss.clear();
    }
    for (const worker of cluster.workers.values()) worker.spotNoticeS = null;
    cluster.outboundLoss.clear();
    await cluster.advance(15_000);
    cluster.checker.faultsEnded(cluster.clock.now());
    await cluster.advance(30_000);
    for (let round = 0; round < 8; round++) {
      assert.equal(stateOf(await cluster.poll(`j-a${round}`)), 'done');
      for (const taskIndex of [0, 1]) assert.equal(cluster.countOverlaps(`j-svc${round}/${taskIndex}`), 0);
    }
    assert.equal(stateOf(await cluster.cancelJob('j-svc')), 'cancelled');
    const use = cluster.store.rows.get('live/team/red')!.value as { cpus: number };
    assert.equal(use.cpus, 0);
    const left = [...cluster.store.rows.keys()].filter((key) => /^live\/(job|ledger)\//.test(key));
    assert.deepEqual(left, []);
  });
});

describe('after a crash of the cluster leader', () => {
  const jobIds = [0, 1, 2, 3].map((n) => `j-svc${n}`);

  it('and a partition leader, tasks of machines that get no answers end in time, and start elsewhere only then', async () => {
    await startCluster(6);
    for (const jobId of jobIds) await cluster.submit({ ...service, id: jobId });
    const machineIds = [...new Set(jobIds.map((jobId) => currentMachine(`${jobId}/0`)))];
    cluster.rememberWorkers();
    cluster.network.addFault({ to: 'cloud:1', kind: 'status', status: 503, body: { error: 'trouble' } });
    const leader = Number(cluster.node(0).leadership.leaderOf('leader')!.slice(1));
    const partitionLeader = partitionOf(machineIds[0]!);
    for (const machineId of machineIds) cluster.inboundLoss.add(machineId);
    for (const node of new Set([leader, partitionLeader])) cluster.crash(node);
    await cluster.advance(4000);
    const other = [0, 1, 2].find((node) => node !== leader && node !== partitionLeader)!;
    void cluster.requestCancellation('j-svc0', other);
    await cluster.advance(36_000);
    assert.notEqual(cluster.runs('j-svc0/0')[0]!.to, undefined);
    for (const jobId of jobIds.slice(1)) {
      assert.equal(cluster.countOverlaps(`${jobId}/0`), 0);
      assert.equal(cluster.runs(`${jobId}/0`).at(-1)!.to, undefined, `${jobId} runs again`);
      assert.equal(machineIds.includes(currentMachine(`${jobId}/0`)), false);
    }
    assert.ok(
      cluster.store.rows.has('ended/j-svc0'),
      'the placement is released, though the machine never showed the new token',
    );
    cluster.inboundLoss.clear();
    await cluster.advance(8000);
    for (const machineId of machineIds) assert.ok(isSchedulable(other, machineId), `${machineId} is schedulable again`);
  });

  it('tasks of machines that cannot be reached start elsewhere once their leases are proved to have expired', async () => {
    await startCluster(6);
    for (const jobId of jobIds) await cluster.submit({ ...service, id: jobId });
    const machineIds = [...new Set(jobIds.map((jobId) => currentMachine(`${jobId}/0`)))];
    cluster.network.addFault({ to: 'cloud:1', kind: 'status', status: 503, body: { error: 'trouble' } });
    const leader = Number(cluster.node(0).leadership.leaderOf('leader')!.slice(1));
    // Its last answers are still in flight when it crashes.
    const held = cluster.network.holdMessages({ to: `n${leader}:8080` });
    await cluster.advance(1500);
    for (const machineId of machineIds) cluster.disconnected.add(machineId);
    held();
    await cluster.advance(20);
    cluster.crash(leader);
    await cluster.advance(3000);
    const other = (leader + 1) % 3;
    void cluster.requestCancellation('j-svc0', other);
    // One machine is reached again within its lease, the others after it.
    await cluster.advance(3000);
    cluster.disconnected.delete(machineIds[1]!);
    await cluster.advance(50_000);
    for (const machineId of machineIds) cluster.disconnected.delete(machineId);
    await cluster.advance(8000);
    for (const jobId of jobIds.slice(1)) {
      assert.equal(cluster.countOverlaps(`${jobId}/0`), 0);
      assert.equal(cluster.runs(`${jobId}/0`).at(-1)!.to, undefined, `${jobId} runs again`);
    }
    assert.ok(cluster.store.rows.has('ended/j-svc0'));
  });
});

describe('a zone that is cut off together with its controller', () => {
  it('for longer than a lease keeps no cancelled task, runs no task twice, and is used again afterwards', async () => {
    cluster = new Cluster({ nodes: 3 });
    // The node inside the zone leads the partition of all its machines.
    for (let index = 10; index < 28; index++) {
      const machineId = `i-0000${index}`;
      cluster.addWorker({ machineId, zone: ['a', 'b', 'c'][partitionOf(machineId)]!, runMs: 20_000 });
    }
    await cluster.advance(6000);
    const jobIds = [0, 1, 2, 3, 4, 5].map((n) => `j-svc${n}`);
    for (const [n, jobId] of jobIds.entries()) {
      const more = n % 2 === 0 ? { zone: 'b' } : { spreadAcrossZones: true };
      await cluster.submit({ ...service, ...more, id: jobId, taskCount: 2, cpus: 1 });
    }
    for (let n = 0; n < 3; n++) void cluster.post(jobOf({ id: `j-a${n}`, taskCount: 4, cpus: 1 }), n);
    await cluster.advance(1000);
    const inside = [...cluster.workers.values()].filter((worker) => worker.options.zone === 'b');
    assert.ok(inside.length >= 4);
    const since = cluster.clock.now();
    const heal = cluster.network.partition(['n1', ...inside.map((worker) => worker.options.machineId)]);
    await cluster.advance(300);
    for (const jobId of jobIds.slice(0, 3)) void cluster.requestCancellation(jobId, 0);
    await cluster.advance(12_000);
    assert.ok(
      inside.some((worker) => [...worker.tasks.values()].some((task) => task.state === 'running')),
      'the node inside keeps its workers alive beyond a lease',
    );
    await cluster.advance(40_000);
    heal();
    await cluster.advance(20_000);
    for (const jobId of jobIds) {
      for (const taskIndex of [0, 1]) assert.equal(cluster.countOverlaps(`${jobId}/${taskIndex}`), 0);
    }
    for (const jobId of jobIds.slice(3)) {
      for (const taskIndex of [0, 1])
        assert.equal(cluster.runs(`${jobId}/${taskIndex}`).at(-1)!.to, undefined, `${jobId}/${taskIndex}`);
    }
    for (let n = 0; n < 3; n++) assert.equal(stateOf(await cluster.poll(`j-a${n}`)), 'done');
    for (const { options } of inside)
      assert.ok(isSchedulable(0, options.machineId), `${options.machineId} is schedulable again`);
    for (const { options } of inside)
      for (const run of cluster.workers.get(options.machineId)!.history.filter(({ from }) => from < since))
        assert.ok((run.to ?? 0) - since < 36_000);
  });
});

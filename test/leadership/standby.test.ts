import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { Cluster } from '../../testing/cluster.js';
import { type ClusterOptions, jobOf } from '../../testing/fixtures.js';
import type { FreezeTrigger } from '../../testing/freezer.js';

let cluster: Cluster;
afterEach(() => cluster.stop());

const NODES = [0, 1, 2];
const STANDBY_ON = { enabled: true, follow: true };
const SERVICE_JOB = { id: 'j-svc', kind: 'service', priority: 'prod', estimatedRunS: 0, taskCount: 3 } as const;

async function startCluster(options: ClusterOptions = {}, machines = 6): Promise<void> {
  cluster = new Cluster({ nodes: 3, teams: [{ name: 'red' }], standby: STANDBY_ON, ...options });
  for (let n = 0; n < machines; n++) {
    cluster.addWorker({ machineId: `i-${String(n).padStart(6, '0')}`, zone: ['a', 'b', 'c'][n % 3]!, runMs: 4000 });
  }
  await cluster.advance(8000);
}

const leadershipRecordOf = (role: string) =>
  cluster.store.rows.get(`live/claim/${role}`)?.value as { node: string } | undefined;
const leaderOf = (role: string) => Number(leadershipRecordOf(role)?.node.slice(1));
const nodesExcept = (...nodes: number[]) => NODES.filter((node) => !nodes.includes(node));
const elapsedMsSince = (from: number) => cluster.clock.now() - from;

/** Submits a job, array or gang, every 900 ms for the given time, through any running node. */
function submitJobsFor(ms: number): void {
  for (let at = 0; at < ms; at += 900) {
    cluster.clock.after(at, () => {
      const gang = at % 2700 === 0 ? ({ kind: 'gang', priority: 'high', taskCount: 2 } as const) : { taskCount: 2 };
      const jobId = `j-${String(cluster.clock.now()).padStart(7, '0')}`;
      void cluster.users.submit(jobOf({ id: jobId, ...gang }));
    });
  }
}

/** Asserts that the cluster still runs jobs after the faults, and that no invariant was violated. */
async function assertStillServes(): Promise<void> {
  cluster.checker.faultsEnded(cluster.clock.now());
  await cluster.advance(20_000);
  const node = NODES.find((each) => cluster.isUp(each))!;
  await cluster.submit({ id: 'j-last', taskCount: 2 }, node);
  await cluster.advance(8000);
  const answer = await cluster.poll('j-last', node);
  assert.equal((answer.body as { Phase: string }).Phase, 'done');
  assert.deepEqual(cluster.stopAndCheck(), []);
}

describe('a role whose leader crashes', () => {
  it('is acquired by its designated successor, and no other node, as soon as the store lease has expired', async () => {
    await startCluster();
    const leader = cluster.leader()!;
    const [firstDesignated, secondDesignated] = nodesExcept(leader).map((node) =>
      cluster.node(node).leadership.succession.successorOf('leader'),
    );
    assert.equal(firstDesignated, secondDesignated);
    cluster.crash(leader);
    await cluster.until(() => leadershipRecordOf('leader')?.node !== `n${leader}`, 5000);
    const vacantAt = cluster.clock.now();
    await cluster.until(() => leadershipRecordOf('leader') !== undefined, 2000);
    assert.ok(elapsedMsSince(vacantAt) <= 60, `${elapsedMsSince(vacantAt)} ms without a leader`);
    assert.equal(leadershipRecordOf('leader')!.node, firstDesignated);
    await assertStillServes();
  });

  it('is acquired by the third node when leader and successor crash together', async () => {
    await startCluster();
    const leader = cluster.leader()!;
    const successor = Number(
      cluster.node(leader).leadership.succession.successorOf('leader')?.slice(1) ?? nodesExcept(leader)[0],
    );
    const [third] = nodesExcept(leader, successor);
    const crashedAt = cluster.clock.now();
    cluster.crash(leader);
    cluster.crash(successor);
    await cluster.until(() => leaderOf('leader') === third, 5000);
    assert.ok(elapsedMsSince(crashedAt) < 4500, `${elapsedMsSince(crashedAt)} ms`);
    await assertStillServes();
  });

  it('is acquired by a node in another zone than the former leader', async () => {
    await startCluster({ locations: ['a', 'a', 'b'] });
    const leader = cluster.leader()!;
    if (leader === 2) return;
    cluster.crash(leader);
    await cluster.until(() => leadershipRecordOf('leader') !== undefined && leaderOf('leader') !== leader, 5000);
    assert.equal(leaderOf('leader'), 2);
    await assertStillServes();
  });

  it('has a single leader even if two nodes consider themselves its successor', async () => {
    await startCluster();
    const leader = cluster.leader()!;
    for (const node of nodesExcept(leader)) cluster.node(node).leadership.succession.successorOf = () => `n${node}`;
    submitJobsFor(9000);
    cluster.crash(leader);
    await cluster.advance(5000);
    const leading = nodesExcept(leader).filter((node) => cluster.node(node).leadership.isClusterLeader);
    assert.equal(leading.length, 1);
    await assertStillServes();
  });

  it('changes its leader ten times in two minutes without duplicate placements', async () => {
    await startCluster();
    await cluster.submit(SERVICE_JOB);
    submitJobsFor(120_000);
    const tokens: number[] = [];
    for (let round = 0; round < 10; round++) {
      const leader = cluster.leader()!;
      tokens.push(cluster.store.rows.get('live/claim/leader')!.modRevision);
      cluster.crash(leader);
      await cluster.until(() => leadershipRecordOf('leader') !== undefined && leaderOf('leader') !== leader, 5000);
      await cluster.advance(3000);
      cluster.start(leader);
      await cluster.advance(5000);
    }
    assert.deepEqual(
      [...tokens].sort((a, b) => a - b),
      tokens,
    );
    await assertStillServes();
  });
});

describe('a leader that freezes during a decision and resumes', () => {
  const FREEZE_POINTS: [where: string, trap: FreezeTrigger][] = [
    ['before its transaction', { path: /^\/txn/, when: 'sending', forMs: 6000 }],
    ['after its transaction', { path: /^\/txn/, when: 'answered', forMs: 6000 }],
    ['before a start command', { path: /^\/commands/, when: 'sending', forMs: 6000 }],
    ['while it answers a heartbeat', { path: /^\/hello/, when: 'answering', forMs: 6000 }],
    ['for less than the TTL of its store lease', { path: /^\/txn/, when: 'answered', forMs: 1500 }],
  ];
  for (const [where, trap] of FREEZE_POINTS) {
    it(`causes no duplicate placement when frozen ${where}`, async () => {
      await startCluster();
      await cluster.submit(SERVICE_JOB);
      submitJobsFor(9000);
      cluster.freezeAt(cluster.leader()!, trap);
      await cluster.advance(16_000);
      await assertStillServes();
    });
  }

  it('leaves a recorded scale-out request to its successor when frozen before it calls the cloud', async () => {
    await startCluster({}, 2);
    const leader = cluster.leader()!;
    // Only transactions that write records of scale-out requests contain this key.
    const isRental = (body: unknown) => JSON.stringify(body).includes('live/hire/');
    cluster.freezeAt(leader, { path: /^\/txn/, when: 'answered', matchesBody: isRental, forMs: 6000 });
    await cluster.submit({ id: 'j-big', taskCount: 12, cpus: 8 }, nodesExcept(leader)[0]);
    const recorded = () => [...cluster.store.rows.keys()].some((key) => key.startsWith('live/hire/'));
    await cluster.until(recorded, 10_000);
    await cluster.until(() => leadershipRecordOf('leader') !== undefined && leaderOf('leader') !== leader, 8000);
    const from = cluster.network.log.length;
    await cluster.advance(12_000);
    const rentals = cluster.network.log.slice(from).filter(({ path }) => path === '/rentals');
    assert.ok(rentals.length > 0);
    assert.deepEqual([...new Set(rentals.map((call) => call.from))], [`n${leaderOf('leader')}`]);
    const names = rentals.map(({ body }) => (body as { Hire: string }).Hire);
    assert.equal(new Set(names).size, names.length, 'nothing is rented twice');
  });
});

describe('a controller that was frozen for longer than the TTL of its store lease', () => {
  it('answers no worker until the store has confirmed its lease', async () => {
    await startCluster();
    const node = cluster.leader()!;
    // The other nodes crash as well, so no node acquires the partition and the leadership record would still appear valid.
    for (const other of nodesExcept(node)) cluster.crash(other);
    await cluster.advance(3500);
    cluster.freeze(node, 4000);
    cluster.network.addFault({ from: `n${node}`, to: 'store:1', kind: 'lose' });
    await cluster.advance(4001);
    const worker = [...cluster.workers.values()].find(
      ({ options }) => cluster.node(node).workerManager.roleOf(options.machineId) === `part-${node}`,
    )!;
    const answer = await cluster.node(node).answerHeartbeat(worker.composeHeartbeat());
    assert.equal(answer.status, 503);
    assert.deepEqual(cluster.node(node).leadership.ledPartitions(), []);
  });
});

describe('a successor', () => {
  it('loses the role to the third node when it freezes right after its acquisition', async () => {
    await startCluster();
    submitJobsFor(12_000);
    const leader = cluster.leader()!;
    const successor = Number(
      cluster.node(nodesExcept(leader)[0]!).leadership.succession.successorOf('leader')!.slice(1),
    );
    cluster.crash(leader);
    cluster.freezeAt(successor, {
      when: 'answered',
      path: /^\/txn/,
      matchesBody: (body) => JSON.stringify(body).includes('claim/leader'),
      forMs: 8000,
    });
    const [third] = nodesExcept(leader, successor);
    await cluster.until(() => leaderOf('leader') === third, 12_000);
    await cluster.advance(8000);
    await assertStillServes();
  });

  it('makes no decision before its replica is complete up to its acquisition', async () => {
    await startCluster();
    const leader = cluster.leader()!;
    const successor = Number(
      cluster.node(nodesExcept(leader)[0]!).leadership.succession.successorOf('leader')!.slice(1),
    );
    const { leadership, replica } = cluster.node(successor);
    // With a slow store, the acquisition is answered long before the read that follows it.
    cluster.store.slowMs = 600;
    cluster.crash(leader);
    const decidedEarly: number[] = [];
    let stepsBehind = 0;
    for (let ms = 0; ms < 8000; ms += 20) {
      await cluster.advance(20);
      const held = leadership.leadershipOf('leader');
      const isBehind = held !== undefined && replica.revision < held.term.startRevision;
      if (isBehind) stepsBehind++;
      if (isBehind && leadership.isClusterLeader) decidedEarly.push(ms);
    }
    cluster.store.slowMs = 0;
    assert.ok(stepsBehind > 0);
    assert.deepEqual(decidedEarly, []);
    await assertStillServes();
  });

  it('takes over after a store outage between the crash of the leader and the acquisition', async () => {
    await startCluster();
    await cluster.submit(SERVICE_JOB);
    const leader = cluster.leader()!;
    cluster.crash(leader);
    await cluster.advance(2000);
    cluster.store.isUnavailable = true;
    await cluster.advance(8000);
    cluster.store.endOutage();
    await cluster.until(() => leadershipRecordOf('leader') !== undefined && leaderOf('leader') !== leader, 8000);
    await assertStillServes();
  });
});

describe('a controller that is asked to shut down', () => {
  it('hands over its roles within 100 ms, and the tasks in its partition keep running', async () => {
    await startCluster();
    await cluster.submit(SERVICE_JOB);
    submitJobsFor(9000);
    const leader = cluster.leader()!;
    const running = NODES.map((n) => cluster.runs(`j-svc/${n}`).length);
    const stopRequestedAt = cluster.clock.now();
    const stopped = cluster.terminate(leader);
    await cluster.advance(5);
    // It is no longer a designated successor either, including for roles that it does not lead.
    const other = nodesExcept(leader).at(0)!;
    const designated = NODES.map((node) => cluster.node(other).leadership.succession.successorOf(`part-${node}`));
    assert.ok(!designated.includes(`n${leader}`));
    const roles = ['leader', `part-${leader}`];
    await cluster.until(
      () => roles.every((role) => leadershipRecordOf(role) !== undefined && leaderOf(role) !== leader),
      1500,
    );
    assert.ok(elapsedMsSince(stopRequestedAt) < 100, `${elapsedMsSince(stopRequestedAt)} ms`);
    await cluster.advance(4000);
    await stopped;
    assert.ok(!cluster.isUp(leader));
    assert.deepEqual(
      NODES.map((n) => cluster.runs(`j-svc/${n}`).length),
      running,
    );
    await assertStillServes();
  });

  it('terminates within its time limit even if the store does not answer', async () => {
    await startCluster();
    const leader = cluster.leader()!;
    cluster.network.addFault({ from: `n${leader}`, to: 'store:1', kind: 'lose' });
    const stopRequestedAt = cluster.clock.now();
    void cluster.terminate(leader);
    await cluster.until(() => !cluster.isUp(leader), 4000);
    assert.ok(elapsedMsSince(stopRequestedAt) <= 3100, `${elapsedMsSince(stopRequestedAt)} ms`);
    await assertStillServes();
  });
});

import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { Cluster } from '../../testing/cluster.js';
import { type ClusterOptions, jobOf } from '../../testing/fixtures.js';
import type { Trap } from '../../testing/freezer.js';

let cluster: Cluster;
afterEach(() => cluster.stop());

const NODES = [0, 1, 2];
const ON = { enabled: true, follow: true };
const SERVICE_JOB = { id: 'j-svc', kind: 'service', priority: 'prod', estimatedRunS: 0, taskCount: 3 } as const;

async function ready(options: ClusterOptions = {}, machines = 6): Promise<void> {
  cluster = new Cluster({ nodes: 3, teams: [{ name: 'red' }], standby: ON, ...options });
  for (let n = 0; n < machines; n++) {
    cluster.addWorker({ machineId: `i-${String(n).padStart(6, '0')}`, zone: ['a', 'b', 'c'][n % 3]!, runMs: 4000 });
  }
  await cluster.advance(8000);
}

const leadershipRecordOf = (role: string) =>
  cluster.store.rows.get(`live/claim/${role}`)?.value as { node: string } | undefined;
const leaderOf = (role: string) => Number(leadershipRecordOf(role)?.node.slice(1));
const others = (...nodes: number[]) => NODES.filter((node) => !nodes.includes(node));
const since = (from: number) => cluster.clock.now() - from;

/** Jobs of each kind, now and then, through whichever node is up. */
function submitFor(ms: number): void {
  for (let at = 0; at < ms; at += 900) {
    cluster.clock.after(at, () => {
      const gang = at % 2700 === 0 ? ({ kind: 'gang', priority: 'high', taskCount: 2 } as const) : { taskCount: 2 };
      const jobId = `j-${String(cluster.clock.now()).padStart(7, '0')}`;
      void cluster.users.submit(jobOf({ id: jobId, ...gang }));
    });
  }
}

/** Jobs still run after all that happened, and no invariant was violated. */
async function assertServes(): Promise<void> {
  cluster.checker.faultsEnded(cluster.clock.now());
  await cluster.advance(20_000);
  const node = NODES.find((each) => cluster.has(each))!;
  await cluster.submit({ id: 'j-last', taskCount: 2 }, node);
  await cluster.advance(8000);
  const answer = await cluster.poll('j-last', node);
  assert.equal((answer.body as { Phase: string }).Phase, 'done');
  assert.deepEqual(cluster.verdict(), []);
}

describe('a role whose leader ends', () => {
  it('is acquired by its designated successor as soon as the store lease has expired, and by no other', async () => {
    await ready();
    const leader = cluster.leader()!;
    const [one, two] = others(leader).map((node) => cluster.node(node).leadership.succession.successorOf('leader'));
    assert.equal(one, two);
    cluster.crash(leader);
    await cluster.until(() => leadershipRecordOf('leader')?.node !== `n${leader}`, 5000);
    const vacantAt = cluster.clock.now();
    await cluster.until(() => leadershipRecordOf('leader') !== undefined, 2000);
    assert.ok(since(vacantAt) <= 60, `${since(vacantAt)} ms without a leader`);
    assert.equal(leadershipRecordOf('leader')!.node, one);
    await assertServes();
  });

  it('is acquired by the third node when leader and successor end together', async () => {
    await ready();
    const leader = cluster.leader()!;
    const successor = Number(
      cluster.node(leader).leadership.succession.successorOf('leader')?.slice(1) ?? others(leader)[0],
    );
    const [third] = others(leader, successor);
    const lostAt = cluster.clock.now();
    cluster.crash(leader);
    cluster.crash(successor);
    await cluster.until(() => leaderOf('leader') === third, 5000);
    assert.ok(since(lostAt) < 4500, `${since(lostAt)} ms`);
    await assertServes();
  });

  it('goes to a node in another zone than the former leader', async () => {
    await ready({ locations: ['a', 'a', 'b'] });
    const leader = cluster.leader()!;
    if (leader === 2) return;
    cluster.crash(leader);
    await cluster.until(() => leadershipRecordOf('leader') !== undefined && leaderOf('leader') !== leader, 5000);
    assert.equal(leaderOf('leader'), 2);
    await assertServes();
  });

  it('has one leader although two nodes consider themselves its successor', async () => {
    await ready();
    const leader = cluster.leader()!;
    for (const node of others(leader)) cluster.node(node).leadership.succession.successorOf = () => `n${node}`;
    submitFor(9000);
    cluster.crash(leader);
    await cluster.advance(5000);
    const leading = others(leader).filter((node) => cluster.node(node).leadership.isLeader);
    assert.equal(leading.length, 1);
    await assertServes();
  });

  it('changes its leader ten times in two minutes without a second placement of any task', async () => {
    await ready();
    await cluster.submit(SERVICE_JOB);
    submitFor(120_000);
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
    await assertServes();
  });
});

describe('a leader that freezes in the middle of a decision, and resumes', () => {
  const TRAPS: [where: string, trap: Trap][] = [
    ['before its transaction', { path: /^\/txn/, when: 'sending', forMs: 6000 }],
    ['after its transaction', { path: /^\/txn/, when: 'answered', forMs: 6000 }],
    ['before a start command', { path: /^\/commands/, when: 'sending', forMs: 6000 }],
    ['in an answer to a heartbeat', { path: /^\/hello/, when: 'answering', forMs: 6000 }],
    ['for less than the TTL of its store lease', { path: /^\/txn/, when: 'answered', forMs: 1500 }],
  ];
  for (const [where, trap] of TRAPS) {
    it(`${where} places nothing twice`, async () => {
      await ready();
      await cluster.submit(SERVICE_JOB);
      submitFor(9000);
      cluster.freezeAt(cluster.leader()!, trap);
      await cluster.advance(16_000);
      await assertServes();
    });
  }

  it('between the record of a scale-out request and the call does not send the call any more, and its successor does', async () => {
    await ready({}, 2);
    const leader = cluster.leader()!;
    // Only records of scale-out requests are written by transactions that name one.
    const isRental = (body: unknown) => JSON.stringify(body).includes('live/hire/');
    cluster.freezeAt(leader, { path: /^\/txn/, when: 'answered', where: isRental, forMs: 6000 });
    await cluster.submit({ id: 'j-big', taskCount: 12, cpus: 8 }, others(leader)[0]);
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
  it('answers no worker before the store has confirmed its lease', async () => {
    await ready();
    const node = cluster.leader()!;
    // The others end as well, so no node acquires the partition and the leadership record itself would still look valid.
    for (const other of others(node)) cluster.crash(other);
    await cluster.advance(3500);
    cluster.freeze(node, 4000);
    cluster.network.fault({ from: `n${node}`, to: 'store:1', kind: 'lose' });
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
  it('that freezes at the barrier leaves the role to another', async () => {
    await ready();
    submitFor(12_000);
    const leader = cluster.leader()!;
    const successor = Number(cluster.node(others(leader)[0]!).leadership.succession.successorOf('leader')!.slice(1));
    cluster.crash(leader);
    cluster.freezeAt(successor, {
      when: 'answered',
      path: /^\/txn/,
      where: (body) => JSON.stringify(body).includes('claim/leader'),
      forMs: 8000,
    });
    const [third] = others(leader, successor);
    await cluster.until(() => leaderOf('leader') === third, 12_000);
    await cluster.advance(8000);
    await assertServes();
  });

  it('decides nothing before its replica is complete up to its acquisition', async () => {
    await ready();
    const leader = cluster.leader()!;
    const successor = Number(cluster.node(others(leader)[0]!).leadership.succession.successorOf('leader')!.slice(1));
    const { leadership, replica } = cluster.node(successor);
    // The answer to the acquisition comes long before the answer to the read that follows it.
    cluster.store.slowMs = 600;
    cluster.crash(leader);
    const decidedEarly: number[] = [];
    let waited = 0;
    for (let ms = 0; ms < 8000; ms += 20) {
      await cluster.advance(20);
      const held = leadership.leadershipOf('leader');
      const isBehind = held !== undefined && replica.revision < held.term.startRevision;
      if (isBehind) waited++;
      if (isBehind && leadership.isLeader) decidedEarly.push(ms);
    }
    cluster.store.slowMs = 0;
    assert.ok(waited > 0);
    assert.deepEqual(decidedEarly, []);
    await assertServes();
  });

  it('takes over although the store fails between the end of the leader and the acquisition', async () => {
    await ready();
    await cluster.submit(SERVICE_JOB);
    const leader = cluster.leader()!;
    cluster.crash(leader);
    await cluster.advance(2000);
    cluster.store.out = true;
    await cluster.advance(8000);
    cluster.store.endOutage();
    await cluster.until(() => leadershipRecordOf('leader') !== undefined && leaderOf('leader') !== leader, 8000);
    await assertServes();
  });
});

describe('a controller that is told to stop', () => {
  it('hands its roles over at once, and the tasks on its machines go on', async () => {
    await ready();
    await cluster.submit(SERVICE_JOB);
    submitFor(9000);
    const leader = cluster.leader()!;
    const running = NODES.map((n) => cluster.runs(`j-svc/${n}`).length);
    const toldAt = cluster.clock.now();
    const stopped = cluster.terminate(leader);
    await cluster.advance(5);
    // Also of roles that it does not lead: it is no node's successor any more.
    const other = others(leader).at(0)!;
    const named = NODES.map((node) => cluster.node(other).leadership.succession.successorOf(`part-${node}`));
    assert.ok(!named.includes(`n${leader}`));
    const roles = ['leader', `part-${leader}`];
    await cluster.until(
      () => roles.every((role) => leadershipRecordOf(role) !== undefined && leaderOf(role) !== leader),
      1500,
    );
    assert.ok(since(toldAt) < 100, `${since(toldAt)} ms`);
    await cluster.advance(4000);
    await stopped;
    assert.ok(!cluster.has(leader));
    assert.deepEqual(
      NODES.map((n) => cluster.runs(`j-svc/${n}`).length),
      running,
    );
    await assertServes();
  });

  it('ends in time although the store does not answer', async () => {
    await ready();
    const leader = cluster.leader()!;
    cluster.network.fault({ from: `n${leader}`, to: 'store:1', kind: 'lose' });
    const toldAt = cluster.clock.now();
    void cluster.terminate(leader);
    await cluster.until(() => !cluster.has(leader), 4000);
    assert.ok(since(toldAt) <= 3100, `${since(toldAt)} ms`);
    await assertServes();
  });
});

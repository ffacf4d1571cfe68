import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { decodeMessage, encodeMessage } from '../../src/gossip/message-codec.js';
import type { Message } from '../../src/gossip/messages.js';
import { Cluster } from '../../testing/cluster.js';
import type { ClusterOptions } from '../../testing/fixtures.js';

let cluster: Cluster;
afterEach(() => cluster.stop());

const NODES = [0, 1, 2];
const STANDBY_ON = { enabled: true, follow: true };
const OFFER = 'c8 a false';
/** Maximum error, in ms, of a time received over the stream: the lag that the follower accepts. */
const MAX_LAG_MS = 2000;
const isStream = (message: Message) => message.kind === 'standby_stream';

async function startCluster(options: ClusterOptions = {}): Promise<void> {
  cluster = new Cluster({ nodes: 3, teams: [{ name: 'red' }], standby: STANDBY_ON, ...options });
  for (let n = 0; n < 6; n++) cluster.addWorker({ machineId: `i-00000${n}`, zone: ['a', 'b', 'c'][n % 3]! });
  await cluster.advance(8000);
}

/** Counts the stream messages that each node receives. */
function countStreamMessages(): Map<number, number> {
  const counts = new Map(NODES.map((node) => [node, 0]));
  for (const node of NODES) {
    const controller = cluster.node(node);
    const receive = controller.receive.bind(controller);
    controller.receive = (message) => {
      if (isStream(message)) counts.set(node, counts.get(node)! + 1);
      receive(message);
    };
  }
  return counts;
}

const awaitNewLeader = async (former: number): Promise<number> => {
  await cluster.until(() => cluster.leader() !== undefined && cluster.leader() !== former, 8000);
  await cluster.until(() => cluster.node(cluster.leader()!).leadership.isClusterLeader, 2000);
  return cluster.leader()!;
};

describe('the advisory state of the cluster leader', () => {
  it('is restored on its successor, with refused offers and the idle times of machines', async () => {
    await startCluster();
    const leader = cluster.leader()!;
    const { advisoryState } = cluster.node(leader).leader;
    await cluster.advance(12_000);
    advisoryState.restoreRefusal(OFFER, cluster.clock.now());
    await cluster.advance(2000);
    const idleSince = new Map([...advisoryState.idleMachines()].map(({ machineId, at }) => [machineId, at]));
    assert.equal(idleSince.size, 6);
    cluster.crash(leader);
    const successor = cluster.node(await awaitNewLeader(leader)).leader.advisoryState;
    assert.ok([...successor.refusedOffers()].some(({ offer }) => offer === OFFER));
    const restored = [...successor.idleMachines()];
    assert.equal(restored.length, 6);
    for (const { machineId, at } of restored)
      assert.ok(Math.abs(at - idleSince.get(machineId)!) <= MAX_LAG_MS, machineId);
  });

  it('is restored after a planned handover, with the attempts that were recently asked to stop', async () => {
    await startCluster();
    const leader = cluster.leader()!;
    cluster.node(leader).leader.advisoryState.restoreEviction('j-y/0#3', cluster.clock.now());
    await cluster.advance(600);
    void cluster.terminate(leader);
    const { advisoryState } = cluster.node(await awaitNewLeader(leader)).leader;
    assert.ok([...advisoryState.recentEvictions()].some(({ attempt }) => attempt === 'j-y/0#3'));
  });

  it('does not delay a takeover when the stream is cut but the store answers', async () => {
    await startCluster();
    const leader = cluster.leader()!;
    for (const node of NODES)
      for (const other of NODES) if (node !== other) cluster.partitioned.add(`n${node}>n${other}`);
    await cluster.advance(4000);
    const crashedAt = cluster.clock.now();
    cluster.crash(leader);
    await awaitNewLeader(leader);
    assert.ok(cluster.clock.now() - crashedAt < 5000);
    assert.deepEqual(cluster.stopAndCheck(), []);
  });

  it('is followed again after links have flapped every second', async () => {
    await startCluster();
    const leader = cluster.leader()!;
    for (let round = 0; round < 20; round++) {
      for (const node of NODES) cluster.partitioned[round % 2 === 0 ? 'add' : 'delete'](`n${leader}>n${node}`);
      await cluster.advance(1000);
    }
    await cluster.advance(4000);
    cluster.node(leader).leader.advisoryState.restoreRefusal(OFFER, cluster.clock.now());
    await cluster.advance(2000);
    cluster.crash(leader);
    const { advisoryState } = cluster.node(await awaitNewLeader(leader)).leader;
    assert.ok([...advisoryState.refusedOffers()].some(({ offer }) => offer === OFFER));
    assert.deepEqual(cluster.stopAndCheck(), []);
  });
});

describe('unhealthy checks of a service task', () => {
  it('are restored on the successor of the partition leader', async () => {
    await startCluster();
    await cluster.submit({ id: 'j-svc', kind: 'service', priority: 'prod', estimatedRunS: 0, taskCount: 3 });
    const machineId = cluster.runs('j-svc/0')[0]!.machineId;
    const role = cluster.anyNode().workerManager.roleOf(machineId);
    const formerLeader = Number(cluster.anyNode().leadership.leaderOf(role)!.slice(1));
    const { happiness } = cluster.node(formerLeader);
    for (let n = 0; n < 6; n++) happiness.recordCheck('j-svc/0', false, cluster.clock.now());
    const before = happiness.happinessOf('j-svc/0', cluster.clock.now())!;
    assert.ok(before < 0.9);
    await cluster.advance(2500);
    cluster.crash(formerLeader);
    const others = NODES.filter((node) => node !== formerLeader);
    const newLeader = () => others.find((node) => cluster.node(node).leadership.leadershipOf(role) !== undefined);
    await cluster.until(() => newLeader() !== undefined, 6000);
    await cluster.advance(600);
    const restoredHappiness = cluster.node(newLeader()!).happiness.happinessOf('j-svc/0', cluster.clock.now());
    assert.ok(restoredHappiness !== undefined && restoredHappiness < 1, 'its unhealthy checks are lost');
  });
});

describe('controllers that do not read the advisory stream', () => {
  it('are sent no stream messages, before and after takeovers in both directions', async () => {
    await startCluster({ standbyOf: (node) => (node === 1 ? { enabled: false, follow: false } : {}) });
    const counts = countStreamMessages();
    await cluster.advance(5000);
    assert.equal(counts.get(1), 0);
    assert.ok(counts.get(0)! + counts.get(2)! > 0);
    for (const node of [cluster.leader()!, 1]) {
      cluster.crash(node);
      await cluster.advance(6000);
      cluster.start(node);
      await cluster.advance(6000);
    }
    assert.equal(counts.get(1), 0);
    assert.deepEqual(cluster.stopAndCheck(), []);
  });
});

describe('messages of the advisory stream', () => {
  it('are decoded as they were encoded, and have a first byte that no other message has', () => {
    const echo = { incarnation: 4, clock: 5.5 };
    const entry = { kind: 'health' as const, name: 'j-1/0', ageMs: 7, healthy: 8, unhealthy: 9, isRemoved: false };
    const batch = {
      node: 'n0',
      incarnation: 1,
      after: 2,
      upTo: 3,
      isSnapshot: false,
      part: 0,
      parts: 1,
      echo,
      entries: [entry],
    };
    const follow = { node: 'n1', incarnation: 4, clock: 5.5, followedIncarnation: 1, upTo: 3 };
    for (const payload of [{ batch }, { follow }]) {
      const message: Message = { kind: 'standby_stream', payload };
      const bytes = encodeMessage(message);
      assert.deepEqual(JSON.parse(JSON.stringify(decodeMessage(bytes))), message);
      assert.equal(bytes[0], 0xff);
    }
    const heartbeat: Message = { kind: 'forwarded_heartbeat', payload: { node: 'n0', id: 1, status: '' } };
    assert.notEqual(encodeMessage(heartbeat)[0], 0xff);
    assert.throws(() => decodeMessage(Buffer.from([0xff, 1, 2, 3])));
  });
});

import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { MAX_GOSSIP_BYTES } from '../../src/constants/gossip.js';
import type { TaskPlacement } from '../../src/domain/task.js';
import { encodeMessage } from '../../src/gossip/message-codec.js';
import type { Gossip, MachineUpdate } from '../../src/gossip/messages.js';
import { ReceivedMachineUpdates } from '../../src/gossip/received-machine-updates.js';
import { describeOwnMachines, SentMachineUpdates } from '../../src/gossip/sent-machine-updates.js';
import { Random } from '../../src/net/random.js';
import { Priority } from '../../src/net/token-bucket.js';
import { decodeChunk, withPlacement } from '../../src/records/placement-codec.js';
import { jsonLength } from '../../src/store/json-size.js';
import { Replica } from '../../src/store/replica.js';
import type { StoreClient } from '../../src/store/store-client.js';
import type { TransactionResult } from '../../src/store/store-wire-codec.js';
import { TransactionBatcher } from '../../src/store/transaction-batcher.js';
import type { TransactionDraft } from '../../src/store/transaction-draft.js';
import { Cluster } from '../../testing/cluster.js';
import { FakeClock } from '../../testing/fake-clock.js';
import { anyTransactionLimits, jobOf } from '../../testing/fixtures.js';

let cluster: Cluster | undefined;
afterEach(() => {
  const violations = cluster?.stopAndCheck() ?? [];
  cluster = undefined;
  assert.deepEqual(violations, []);
});

async function startCluster(
  nodes: number,
  machines: number,
  clusterSettings = {},
  teams = [{ name: 'red' }],
): Promise<Cluster> {
  cluster = new Cluster({ nodes, teams, cluster: clusterSettings });
  for (let index = 0; index < machines; index++) {
    const machineId = `i-${String(index).padStart(6, '0')}`;
    cluster.addWorker({ machineId, zone: ['a', 'b', 'c'][index % 3]!, runMs: 5000 });
  }
  await cluster.advance(6000);
  return cluster;
}

const machine = (machineId: string, fields: Partial<MachineUpdate> = {}): MachineUpdate => ({
  ...{
    machineId,
    number: -1,
    endpoint: `${machineId}:9000`,
    machineType: 'c8',
    zone: 'a',
    isSpot: false,
    agentEpoch: 1,
    sequence: 5,
  },
  ...{
    heartbeatAgeMs: 100,
    stateAgeMs: 0,
    spotNoticeMs: null,
    isQuarantined: false,
    isBackingOff: false,
    isUnreached: false,
    isSlow: false,
  },
  ...{ isMute: false, images: ['img-1'], failedJobs: [], partitionLeader: 'n0' },
  ...fields,
});

const asGossip = (fields: ReturnType<SentMachineUpdates['compose']>): Gossip => ({
  ...{
    node: 'n0',
    uptimeMs: 1,
    replicaAgeMs: 1,
    isWithoutStore: false,
    reachablePeers: [],
    clockMs: 0,
    echo: null,
    isLoaded: true,
    version: 0,
    wantsSnapshot: false,
    misroutedHeartbeats: [],
    avoidedRoles: [],
    terminatedMachines: [],
  },
  ...fields,
});

describe('gossip of hundreds of machines', () => {
  const many = Array.from({ length: 300 }, (_, n) => machine(`i-${n}`));

  it('contains in full only machines that have changed, and of the others the last heartbeat', () => {
    const sentUpdates = new SentMachineUpdates(1);
    const received = new ReceivedMachineUpdates();
    assert.equal(
      received.apply(asGossip(sentUpdates.compose('n1', describeOwnMachines(0, many), [], 0))).machines.length,
      300,
    );
    const later = many.map((each, n) => ({ ...each, sequence: 9, heartbeatAgeMs: 40, isBackingOff: n === 7 }));
    const gossip = sentUpdates.compose('n1', describeOwnMachines(1000, later), [], 1010);
    assert.deepEqual(
      gossip.machines.map(({ machineId }) => machineId),
      ['i-7'],
    );
    const { machines, unchanged, hasGap } = received.apply(asGossip(gossip));
    assert.equal(hasGap, false);
    assert.equal(machines.length + unchanged.length, 300);
    const other = unchanged.find((each) => each.machine.machineId === 'i-8')!;
    assert.deepEqual([other.sequence, other.heartbeatAgeMs], [9, 50]);
  });

  it('is sent as a snapshot to a peer that has missed a message, which applies no later update until then', () => {
    const sentUpdates = new SentMachineUpdates(1);
    const received = new ReceivedMachineUpdates();
    received.apply(asGossip(sentUpdates.compose('n1', describeOwnMachines(0, many), [], 0)));
    // This message is lost: machine 3 has a new agent epoch.
    const now = many.map((each, n) => (n === 3 ? { ...each, agentEpoch: 2 } : each));
    sentUpdates.compose('n1', describeOwnMachines(1000, now), [], 1000);
    const after = received.apply(asGossip(sentUpdates.compose('n1', describeOwnMachines(2000, now), [], 2000)));
    assert.equal(after.hasGap, true);
    assert.equal(after.machines.length + after.unchanged.length, 0);
    sentUpdates.requireSnapshot('n1');
    const whole = received.apply(asGossip(sentUpdates.compose('n1', describeOwnMachines(3000, now), [], 3000)));
    assert.equal(whole.hasGap, false);
    assert.equal(whole.machines.find(({ machineId }) => machineId === 'i-3')!.agentEpoch, 2);
  });

  it('of thousands of machines is split into messages below the size limit, until the peer knows all machines', () => {
    const images = Array.from({ length: 12 }, (_, n) => `registry.example/team/image-${n}`);
    const all = Array.from({ length: 6000 }, (_, n) => machine(`i-${n}`, { images }));
    const others = Array.from({ length: 6000 }, (_, n) => machine(`i-other-${n}`, { images, number: -1 }));
    const sentUpdates = new SentMachineUpdates(1);
    const received = new ReceivedMachineUpdates();
    const known = new Set<string>();
    const passedOn = new Set<string>();
    for (let turn = 0; turn < 40; turn++) {
      const own = describeOwnMachines(turn * 1000, all);
      const gossip = asGossip(sentUpdates.compose('n1', own, others, turn * 1000));
      assert.ok(encodeMessage({ kind: 'gossip', payload: gossip }).length < MAX_GOSSIP_BYTES);
      const { machines, hasGap } = received.apply(gossip);
      assert.equal(hasGap, false);
      for (const { machineId } of machines) (machineId.startsWith('i-other') ? passedOn : known).add(machineId);
    }
    assert.equal(known.size, 6000);
    assert.equal(passedOn.size, 6000);
  });

  it('changes nothing if it arrives late, and is accepted from a new incarnation', () => {
    const sentUpdates = new SentMachineUpdates(1);
    const received = new ReceivedMachineUpdates();
    const first = asGossip(sentUpdates.compose('n1', describeOwnMachines(0, many), [], 0));
    const second = asGossip(sentUpdates.compose('n1', describeOwnMachines(1000, many), [], 1000));
    received.apply(first);
    received.apply(second);
    assert.equal(received.apply(first).machines.length, 0);
    const restarted = new SentMachineUpdates(2);
    assert.equal(received.apply(asGossip(restarted.compose('n1', describeOwnMachines(0, many), [], 0))).hasGap, false);
  });

  it('between controllers recovers when one message was lost', async () => {
    await startCluster(2, 12);
    cluster!.partitioned.add('n0>n1');
    cluster!.node(0).composeGossip('n1');
    cluster!.partitioned.delete('n0>n1');
    await cluster!.advance(3000);
    const all = [...cluster!.node(1).inventory.machines().values()];
    assert.equal(all.length, 12);
    assert.ok(all.every((each) => cluster!.node(1).inventory.isSchedulable(each)));
  });
});

describe('a chunk of placements', () => {
  const placed: TaskPlacement = {
    ...{ kind: 'placed', attempt: 1, failures: 0, machineId: 'i-1', agentEpoch: 1, gracePeriodS: null, zone: 'a' },
  };

  it('keeps the decoded placements that a change does not concern, and its measured length', () => {
    const one = withPlacement(undefined, 64, 3, placed);
    const two = withPlacement(one, 64, 9, placed);
    assert.equal(decodeChunk(two, 64)[3], decodeChunk(one, 64)[3]);
    assert.equal(jsonLength(two), JSON.stringify(two).length);
    // A parsed copy, as it comes from the store or a peer.
    const copy = decodeChunk(JSON.parse(JSON.stringify(two)), 64, decodeChunk(two, 64));
    assert.ok(copy.every((placement, at) => placement === decodeChunk(two, 64)[at]));
    assert.deepEqual(decodeChunk(JSON.parse(JSON.stringify(two)), 64), decodeChunk(two, 64));
  });
});

describe('exits of batch tasks', () => {
  it('that arrive one by one share a transaction, and a submission among them does not wait', async () => {
    const clock = new FakeClock();
    const sent: { keys: number; at: number }[] = [];
    const transact = (_: unknown, writes: unknown[]): Promise<TransactionResult> => {
      sent.push({ keys: writes.length, at: clock.now() });
      return Promise.resolve({ kind: 'done', revision: sent.length });
    };
    const client = { transact } as unknown as StoreClient;
    const limits = anyTransactionLimits();
    const transactions = new TransactionBatcher({
      client,
      replica: new Replica(client, 'live/', clock),
      limits,
      prefix: 'live/',
      clock,
      random: new Random(1),
      batchingMs: 200,
    });
    const put = (key: string, priority: Priority) =>
      void transactions.commit(key, priority, (draft) => {
        draft.set(key, {});
        return true;
      });
    for (let n = 0; n < 8; n++) {
      put(`live/exit-${n}`, Priority.record);
      await clock.advance(10);
    }
    const before = clock.now();
    put('live/job', Priority.accept);
    await clock.advance(1);
    assert.deepEqual(sent, [{ keys: 1, at: before }]);
    await clock.advance(500);
    assert.equal(sent.length, 2);
    assert.equal(sent[1]!.keys, 8);
  });
});

describe('a backlog of exits', () => {
  it('costs a number of changes that depends on how many jobs it concerns, not on its length', async () => {
    const clock = new FakeClock();
    let writes = 0;
    const sent: string[][] = [];
    const transact = (_: unknown, all: { key: string }[]): Promise<TransactionResult> => {
      writes += all.length;
      sent.push(all.map(({ key }) => key));
      return clock.sleep(200).then(() => ({ kind: 'done', revision: writes }));
    };
    const client = { transact } as unknown as StoreClient;
    const limits = anyTransactionLimits();
    const transactions = new TransactionBatcher({
      client,
      replica: new Replica(client, 'live/', clock),
      limits,
      prefix: 'live/',
      clock,
      random: new Random(1),
    });
    for (let n = 0; n < 600; n++) {
      const key = `live/ledger/${n % 30}`;
      const decide = (draft: TransactionDraft) => {
        draft.set(key, { n });
        draft.set(`live/team/${n % 3}`, { n });
        return true;
      };
      void transactions.commit('free', Priority.record, decide, {
        batchingHint: { key, sharedRecord: `team/${n % 3}` },
      });
    }
    await clock.advance(20_000);
    assert.ok(
      sent.every((keys) => keys.filter((key) => key.startsWith('live/team/')).length === 1),
      'each transaction changes only one of the team records, which all nodes change',
    );
    assert.ok(writes < 150, `${writes} changes for 600 exits of 30 jobs`);
  });
});

describe('scale-out', () => {
  it('continues while many rentals are pending and the store takes only small values', async () => {
    cluster = new Cluster({
      nodes: 1,
      teams: [{ name: 'red' }],
      cluster: { state: { rps: 500, write_rps: 200, value_kb: 1, txn_ops: 12 } },
    });
    cluster.addWorker({ machineId: 'i-900001', runMs: 600_000 });
    await cluster.advance(5000);
    await cluster.submit({ id: 'j-big1', taskCount: 400, cpus: 8, estimatedRunS: 600 });
    await cluster.advance(40_000);
    const rented = [...cluster.cloud.machines.keys()].length;
    assert.ok(rented > 150, `${rented} machines`);
    const rows = [...cluster.store.rows].filter(([key]) => key.startsWith('live/hire/'));
    assert.ok(rows.every(([, { value }]) => JSON.stringify(value).length < 1024));
  });
});

describe('a node that takes over hundreds of machines', () => {
  it('announces its token to a few at a time, each in its turn, even if many do not answer', async () => {
    await startCluster(2, 240);
    await cluster!.submit({ id: 'j-svc1', kind: 'service', taskCount: 400, memoryGb: 1, priority: 'prod' });
    await cluster!.advance(8000);
    const commandCount = () =>
      cluster!.network.log.filter(({ from, path }) => from === 'n0' && path === '/commands').length;
    for (const machineId of cluster!.workers.keys()) cluster!.disconnected.add(machineId);
    cluster!.crash(1);
    const start = commandCount();
    let before = start;
    let most = 0;
    for (let n = 0; n < 80; n++) {
      await cluster!.advance(100);
      most = Math.max(most, commandCount() - before);
      before = commandCount();
    }
    assert.ok(most > 0 && most <= 30, `${most} commands in 100 ms`);
    const commands = cluster!.network.log
      .filter(({ from, path }) => from === 'n0' && path === '/commands')
      .slice(start);
    assert.ok(new Set(commands.map(({ to }) => to)).size > 60);
  });
});

describe('an idle cluster of 900 machines', () => {
  it('checks each machine only a few times a second, for all periodic duties together', async () => {
    await startCluster(3, 900);
    const { inventory } = cluster!.node(0);
    let checks = 0;
    const isSilent = inventory.isSilent.bind(inventory);
    inventory.isSilent = (each) => {
      checks++;
      return isSilent(each);
    };
    await cluster!.advance(2000);
    assert.ok(checks / 2 < 900 * 4, `${checks / 2} checks a second`);
  });
});

describe('a start that waits for a store transaction', () => {
  it('is abandoned when another node has filled the machine in the meantime', async () => {
    await startCluster(2, 10);
    let most = 0;
    const sampleUsage = () => {
      const { clusterState } = cluster!.node(1);
      for (const machineId of cluster!.workers.keys())
        most = Math.max(most, clusterState.usedResourcesOn(machineId)?.cpus ?? 0);
    };
    const endRefusal = cluster!.network.addFault({ from: 'n0', path: /txn/, kind: 'status', status: 429 });
    const jobs = Array.from({ length: 12 }, (_, n) =>
      cluster!.post(jobOf({ id: `j-wait${n}`, taskCount: 12, estimatedRunS: 5 }), 1),
    );
    for (let n = 0; n < 40; n++) {
      await cluster!.advance(50);
      if (n === 12) endRefusal();
      sampleUsage();
    }
    await Promise.all(jobs);
    assert.ok(most <= 8, `${most} CPUs of 8`);
  });
});

import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import type { JsonResponse } from '../../src/net/json-response.js';
import { Cluster } from '../../testing/cluster.js';
import { encodeTransaction, type StoreOperation } from '../../testing/fake-store-wire-codec.js';
import { type ClusterOptions, jobOf } from '../../testing/fixtures.js';
import { decodeJobStatus } from '../../testing/job-status-wire-codec.js';
import type { Submission } from '../../testing/submission-wire-codec.js';

/** Jobs under two faults at a time; each scenario ends with the result of the invariant checker. */
let cluster: Cluster;
afterEach(() => assert.deepEqual(cluster.stopAndCheck(), []));

async function startCluster(options: ClusterOptions = {}, machines = 3, runMs = 5000): Promise<Cluster> {
  isStoreSlow = false;
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

const statusOf = (answer: JsonResponse) => decodeJobStatus(answer.body);
const jobState = async (jobId: string, node = 0) => statusOf(await cluster.poll(jobId, node)).state;
const service = { kind: 'service', priority: 'prod', estimatedRunS: 0 } as const;
const runningTasks = (jobId: string) =>
  [...cluster.workers.values()].flatMap((worker) =>
    [...worker.tasks].filter(([name, task]) => name.startsWith(`${jobId}/`) && task.state === 'running'),
  ).length;

/** Schedules an action of a user. */
function schedule(ms: number, action: () => unknown): void {
  void cluster.clock.sleep(ms).then(action);
}

let isStoreSlow = false;
/** From now on requests to the store take between `least` and `most` ms, changing every 130 ms. */
function slowDownStore(least: number, most: number): void {
  isStoreSlow = true;
  const change = (turn: number) => {
    if (!isStoreSlow) return;
    cluster.store.slowMs = least + ((turn * 7919) % (most - least));
    schedule(130, () => change(turn + 1));
  };
  change(1);
}

function endFaults(): void {
  isStoreSlow = false;
  cluster.store.slowMs = 0;
  cluster.network.clearFaults();
}

/** Users poll the jobs every 5 s, each time at another node, for `forMs`. */
function pollAll(jobIds: readonly string[], forMs: number): Map<string, JsonResponse[]> {
  const answers = new Map<string, JsonResponse[]>(jobIds.map((jobId) => [jobId, []]));
  for (const [at, jobId] of jobIds.entries()) {
    for (let turn = 0; turn * 5000 < forMs; turn++) {
      schedule(turn * 5000 + ((at * 370) % 5000), async () =>
        answers.get(jobId)!.push(await cluster.requestStatus(jobId, (at + turn) % 3)),
      );
    }
  }
  return answers;
}

describe('the end of the last task of a job', () => {
  const faults: Record<string, () => void> = {
    'and no other fault': () => undefined,
    'and lost answers': () => {
      for (let n = 0; n < 8; n++) {
        schedule(4500 + n * 550, () =>
          cluster.network.addFault({
            from: `n${n % 3}`,
            path: /^\/txn/,
            kind: 'answerLost',
            times: 2,
          }),
        );
      }
    },
    'and transactions that are executed late': () => {
      for (let n = 0; n < 6; n++) {
        schedule(4500 + n * 700, () =>
          cluster.network.addFault({
            from: `n${n % 3}`,
            path: /^\/txn/,
            kind: 'hold',
            times: 1,
          }),
        );
        schedule(7500 + n * 1900, () => cluster.network.deliverHeld());
      }
    },
    'and a slow store': () => {
      slowDownStore(200, 900);
    },
  };
  for (const [name, injectFault] of Object.entries(faults)) {
    it(`concurrent with cancellations, polls and resubmissions, ${name}, leads to one state at all nodes`, async () => {
      await startCluster({ teams: [{ name: 'red' }] });
      injectFault();
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
        schedule(at, () => cluster.requestCancellation(jobId, n % 3));
        for (const late of [0, 150, 400, 1200]) {
          schedule(at + late, () => cluster.requestStatus(jobId, (n + 1) % 3));
          schedule(at + late, () => cluster.post(job, (n + 2) % 3));
          schedule(at + late + 50, () => cluster.requestCancellation(jobId, (n + 1) % 3));
        }
      }
      await cluster.advance(30_000);
      endFaults();
      cluster.checker.faultsEnded(cluster.clock.now());
      await cluster.advance(10_000);
      const ends = new Set<string>();
      for (const jobId of jobIds) {
        const phases = await Promise.all([0, 1, 2].map((node) => jobState(jobId, node)));
        assert.equal(new Set(phases).size, 1, `${jobId}: ${phases.join(' ')}`);
        ends.add(phases[0]!);
        assert.deepEqual(
          [...cluster.store.rows.keys()].filter((key) => key.endsWith(`/${jobId}`) || key.includes(`/${jobId}/`)),
          [`ended/${jobId}`],
        );
      }
      assert.deepEqual([...ends].sort(), ['cancelled', 'done'], 'the cancellations come before and after the end');
    });
  }
});

describe('a team at its limit', () => {
  const teams = [{ name: 'red', cpus: 4, cpus_max: 6 }];
  for (const cancelAt of [0, 700, 2500, 6000]) {
    it(`stays within it and leaks no usage when leaders crash, machines are cut off and jobs are cancelled ${cancelAt} ms later`, async () => {
      await startCluster({ teams }, 6);
      for (let n = 0; n < 3; n++) await cluster.submit({ ...service, id: `j-svc${n}` }, n);
      for (let n = 0; n < 4; n++) await cluster.submit({ id: `j-more${n}`, taskCount: 2 }, n % 3);
      const lost = [0, 1].map((n) => cluster.runs(`j-svc${n}/0`)[0]!.machineId);
      const cloudBack = cluster.network.addFault({
        to: 'cloud:1',
        kind: 'status',
        status: 503,
        body: { error: 'trouble' },
      });
      cluster.rememberWorkers();
      for (const machineId of lost) cluster.disconnected.add(machineId);
      for (let turn = 0; turn < 3; turn++) {
        const formerLeader = cluster.leader()!;
        // The answers to the other nodes' transactions are lost while they take over; one node's transactions are held back.
        for (let n = 0; n < 3; n++) {
          if (n !== formerLeader)
            cluster.network.addFault({
              from: `n${n}`,
              path: /^\/txn/,
              kind: n === turn ? 'hold' : 'answerLost',
              times: 2,
            });
        }
        cluster.crash(formerLeader);
        schedule(cancelAt, () => cluster.requestCancellation(`j-svc${turn}`, (formerLeader + 1) % 3));
        schedule(cancelAt + 2500, () => cluster.requestCancellation(`j-svc${turn}`, (formerLeader + 2) % 3));
        await cluster.advance(4000);
        cluster.network.deliverHeld();
        cluster.start(formerLeader);
        await cluster.advance(6000);
        cluster.network.deliverHeld();
      }
      cloudBack();
      for (const machineId of lost) cluster.disconnected.delete(machineId);
      await cluster.advance(5000);
      for (let n = 0; n < 3; n++) await cluster.cancelJob(`j-svc${n}`, n);
      cluster.checker.faultsEnded(cluster.clock.now());
      const jobIds = [0, 1, 2, 3].map((n) => `j-more${n}`);
      pollAll(jobIds, 100_000);
      await cluster.advance(100_000);
      for (const jobId of jobIds) assert.equal(await jobState(jobId), 'done');
      const team = cluster.store.rows.get('live/team/red')?.value as {
        cpus: number;
      };
      assert.equal(team.cpus, 0);
    });
  }
});

describe('a team whose jobs are submitted to nodes that are partitioned from each other', () => {
  it('never exceeds its limit, though no replica is up to date', async () => {
    await startCluster({ teams: [{ name: 'red', cpus: 4, cpus_max: 6 }] }, 6);
    for (const from of [0, 1, 2]) for (const to of [0, 1, 2]) cluster.partitioned.add(`n${from}>n${to}`);
    slowDownStore(300, 900);
    const jobIds = Array.from({ length: 9 }, (_, n) => `j-same${n}`);
    for (const [n, jobId] of jobIds.entries())
      void cluster.post(jobOf({ id: jobId, taskCount: 2, priority: 'prod' }), n % 3);
    await cluster.advance(60_000);
    endFaults();
    cluster.partitioned.clear();
    cluster.checker.faultsEnded(cluster.clock.now());
    pollAll(jobIds, 95_000);
    await cluster.advance(95_000);
    for (const jobId of jobIds) assert.equal(await jobState(jobId), 'done');
  });
});

describe('a cluster with more tasks than capacity', () => {
  for (const ms of [
    [200, 400],
    [300, 700],
    [500, 1000],
  ] as [number, number][]) {
    it(`keeps its leases, answers users and finishes jobs of all priorities, with a store latency of ${ms.join(' to ')} ms`, async () => {
      await startCluster({
        teams: [{ name: 'red' }, { name: 'blue', cpus: 8, cpus_max: 16 }],
      });
      for (const zone of ['a', 'b', 'c']) cluster.cloud.fullZones.add(zone);
      const leaders = () =>
        ['leader', 'part-0', 'part-1', 'part-2'].map((role) => cluster.node(0).leadership.leaderOf(role));
      const before = leaders();
      slowDownStore(...ms);
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
        schedule(n * 300, () => cluster.post(jobOf({ id: jobId, ...kinds[n % 4] }), n % 3));
      }
      await cluster.advance(12_000);
      let healthyCount = 0;
      for (let turn = 0; turn < 80; turn++) {
        schedule(turn * 250, () => {
          for (const node of [0, 1, 2]) if (cluster.node(node).answerHealthCheck().status === 200) healthyCount++;
        });
      }
      const answers = pollAll(jobIds, 150_000);
      await cluster.advance(150_000);
      const all = [...answers.values()].flat();
      const answeredCount = all.filter(({ status }) => status === 200).length;
      assert.ok(answeredCount > 0.9 * all.length, `${answeredCount} of ${all.length} polls answered`);
      assert.ok(healthyCount > 0.95 * 240, `${healthyCount} of 240 health checks found a node up`);
      assert.deepEqual(leaders(), before, 'no store lease was lost');
      for (const jobId of jobIds) assert.equal(await jobState(jobId), 'done', jobId);
    });
  }
});

describe('jobs with zone constraints', () => {
  const kinds: Record<string, Partial<Submission>> = {
    'an array in one zone': { singleZone: true, taskCount: 6 },
    'an array in a given zone': { zone: 'a', taskCount: 6 },
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
      it(`finish or run again after the loss of a zone: ${name}, the cloud ${cloudDown ? 'down' : 'up'}`, async () => {
        await startCluster({ teams: [{ name: 'red' }] }, 0);
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
          ? cluster.network.addFault({
              to: 'cloud:1',
              kind: 'status',
              status: 503,
              body: { error: 'trouble' },
            })
          : () => undefined;
        cluster.rememberWorkers();
        // The machines are cut off: their tasks go on until the leases expire.
        for (const { options } of lost) cluster.disconnected.add(options.machineId);
        const formerLeader = cluster.leader()!;
        cluster.crash(formerLeader);
        await cluster.advance(9000);
        cluster.start(formerLeader);
        await cluster.advance(31_000);
        cloudBack();
        if ('zone' in fields || 'spreadAcrossZones' in fields)
          cluster.addWorker({ machineId: 'i-000020', zone, runMs: 9000 });
        await cluster.advance(3000);
        cluster.checker.faultsEnded(cluster.clock.now());
        pollAll([job.id], 100_000);
        await cluster.advance(100_000);
        const state = statusOf(await cluster.poll(job.id));
        if (job.id === 'j-svc-z') assert.equal(runningTasks(job.id), fields.taskCount);
        else assert.equal(state.state, 'done', JSON.stringify(state));
      });
    }
  }
});

describe('users who cancel and poll jobs', () => {
  for (const slow of [
    [100, 300],
    [400, 900],
  ] as [number, number][]) {
    it(`are answered while the store is slow (${slow.join(' to ')} ms), refuses the leader, then all for longer than cancel_s`, async () => {
      await startCluster({ teams: [{ name: 'red' }] }, 6, 90_000);
      const jobIds = Array.from({ length: 12 }, (_, n) => `j-ask${n}`);
      for (const [n, jobId] of jobIds.entries()) {
        await cluster.submit({ id: jobId, cpus: 1, memoryGb: 1, taskCount: 2 }, n % 3);
      }
      const answers = pollAll(jobIds, 150_000);
      slowDownStore(...slow);
      await cluster.advance(6000);
      const alone = `n${cluster.leader()!}`;
      cluster.store.refusedNodes.add(alone);
      // The store executes one cancellation, but the answer is lost.
      cluster.network.addFault({
        from: `n${(cluster.leader()! + 1) % 3}`,
        path: /^\/txn/,
        kind: 'answerLost',
        times: 1,
      });
      for (let n = 0; n < 6; n++) {
        for (let again = 0; again < 40; again++) {
          schedule(n * 500 + again * 2000, () => cluster.requestCancellation(jobIds[n]!, (n + again) % 3));
        }
      }
      await cluster.advance(2600);
      cluster.store.isUnavailable = true;
      const late: JsonResponse[] = [];
      for (let n = 0; n < 20; n++) {
        schedule(4000 + n * 1500, async () => {
          const began = cluster.clock.now();
          late.push(await cluster.requestStatus(jobIds[6 + (n % 6)]!, n % 3));
          assert.ok(cluster.clock.now() - began < 50, 'answered at once');
        });
      }
      await cluster.advance(45_000);
      for (const answer of late) {
        assert.ok(answer.status === 503 && (answer.retryAfter ?? 0) >= 1, JSON.stringify(answer));
      }
      cluster.store.refusedNodes.clear();
      cluster.store.endOutage();
      endFaults();
      cluster.checker.faultsEnded(cluster.clock.now());
      await cluster.advance(4000);
      for (const node of [0, 1, 2]) {
        const known = await cluster.advanceUntilSettled(
          Promise.all(jobIds.map((jobId) => cluster.requestStatus(jobId, node))),
          1000,
        );
        for (const [n, answer] of known.entries()) assert.equal(answer.status, 200, `${jobIds[n]} at n${node}`);
      }
      await cluster.advance(90_000);
      for (const [n, jobId] of jobIds.entries())
        assert.equal(await jobState(jobId), n < 6 ? 'cancelled' : 'done', jobId);
      assert.ok([...answers.values()].every((list) => list.length > 0));
    });
  }
});

describe('once faults are over', () => {
  it('a job whose tasks failed on every machine runs, and no machine stays closed to it', async () => {
    await startCluster({ teams: [{ name: 'red' }] });
    for (const worker of cluster.workers.values()) worker.options.failsAllTasks = true;
    for (const zone of ['a', 'b', 'c']) cluster.cloud.fullZones.add(zone);
    await cluster.submit({
      ...service,
      id: 'j-svc-f',
      taskCount: 3,
      priority: 'normal',
    });
    await cluster.advance(20_000);
    for (const worker of cluster.workers.values()) worker.options.failsAllTasks = false;
    await cluster.advance(90_000);
    assert.equal(runningTasks('j-svc-f'), 3);
  });

  it('machines are rented again for a job whose tasks have often failed', async () => {
    await startCluster({ teams: [{ name: 'red' }] }, 0);
    for (const zone of ['a', 'b', 'c']) cluster.cloud.fullZones.add(zone);
    for (let n = 0; n < 4; n++) {
      cluster.addWorker({ machineId: `i-00001${n}`, runMs: 5000, failsAllTasks: true });
      await cluster.advance(4000);
      if (n === 0) await cluster.submit({ ...service, id: 'j-svc-r', priority: 'normal' });
      await cluster.advance(12_000);
    }
    assert.ok(cluster.runs('j-svc-r/0').length > 2, 'it has failed more than twice');
    for (const machineId of [...cluster.workers.keys()]) cluster.killMachine(machineId);
    cluster.cloud.fullZones.clear();
    await cluster.advance(90_000);
    assert.equal([...cluster.cloud.rentals.values()].flat().length, 1);
  });

  it('jobs that fail everywhere do not close the machines to other jobs', async () => {
    await startCluster({ teams: [{ name: 'red' }] });
    for (const zone of ['a', 'b', 'c']) cluster.cloud.fullZones.add(zone);
    for (const worker of cluster.workers.values()) worker.options.failsTask = (taskId) => taskId.startsWith('j-bad');
    for (let n = 0; n < 3; n++) await cluster.submit({ id: `j-bad${n}`, taskCount: 6 }, n);
    await cluster.advance(10_000);
    for (let n = 0; n < 6; n++) await cluster.submit({ id: `j-good${n}`, taskCount: 4, priority: 'low' }, n % 3);
    await cluster.advance(60_000);
    for (let n = 0; n < 6; n++) assert.equal(await jobState(`j-good${n}`), 'done');
    assert.deepEqual(cluster.cloud.returnedMachineIds, []);
  });

  it('a gang is done though one machine was returned before another reported the end', async () => {
    await startCluster({ teams: [{ name: 'red' }] }, 2, 12_000);
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
    cluster.disconnected.add(first!.machineId);
    await cluster.advance(3200);
    cluster.disconnected.add(second!.machineId);
    while (!cluster.cloud.returnedMachineIds.includes(first!.machineId)) await cluster.advance(100);
    assert.ok(cluster.clock.now() > end, 'its task has finished by then');
    await cluster.advance(200);
    cluster.disconnected.delete(second!.machineId);
    await cluster.advance(5000);
    assert.deepEqual(cluster.cloud.returnedMachineIds, [first!.machineId]);
    assert.equal(await jobState('j-gang'), 'done');
  });

  it('a gang waits for the backoff of a member that has failed, and starts as a whole', async () => {
    await startCluster({ teams: [{ name: 'red' }] }, 0);
    for (const zone of ['a', 'b', 'c']) cluster.cloud.fullZones.add(zone);
    await cluster.submit({
      id: 'j-gang',
      kind: 'gang',
      taskCount: 4,
      priority: 'high',
    });
    // The state after an attempt that ended by the error of one member, which had failed before.
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

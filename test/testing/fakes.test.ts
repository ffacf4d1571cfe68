import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { type HttpResponse, NoResponseError } from '../../src/net/http-client.js';
import { decodeWorkerStatus, type WorkerStatus } from '../../src/workers/worker-wire-codec.js';
import { Cluster } from '../../testing/cluster.js';
import { FakeClock } from '../../testing/fake-clock.js';
import { FakeNetwork } from '../../testing/fake-network.js';
import { FakeStore } from '../../testing/fake-store.js';
import { encodeTransaction } from '../../testing/fake-store-wire-codec.js';
import { encodeCommandBatch, type TaskCommand } from '../../testing/fake-worker-wire-codec.js';
import { type ClusterOptions, jobOf } from '../../testing/fixtures.js';
import { decodeJobState } from '../../testing/job-status-wire-codec.js';

let cluster: Cluster;
afterEach(() => cluster?.stop());

function startCluster(options: ClusterOptions = {}, machines = 1, runMs = 5000): Cluster {
  cluster = new Cluster(options);
  for (let n = 0; n < machines; n++) cluster.addWorker({ machineId: `i-${n}`, zone: ['a', 'b', 'c'][n % 3]!, runMs });
  return cluster;
}

/** Workers without a controller: the test itself sends the commands. */
function startWorkersOnly(machines = 1, runMs = 5000, lease_s = 10): Cluster {
  const workers = { report_s: 1, lease_s, gang_wait_s: 30, gang_peer_s: 4, cancel_s: 70 };
  startCluster({ cluster: { workers } }, machines, runMs);
  cluster.crash(0);
  return cluster;
}

const worker = (n: number) => cluster.workers.get(`i-${n}`)!;
const launch = (n: number, taskId: string, attempt = 1) => send(n, { kind: 'launch', taskId, attempt });
const kill = (n: number, taskId: string, attempt: number, gracePeriodS = 0) =>
  send(n, { kind: 'kill', taskId, attempt, gracePeriodS });
const send = (n: number, command: TaskCommand, agentEpoch = worker(n).agentEpoch) =>
  cluster.network
    .client('test')
    .call(
      `i-${n}:9000`,
      'POST',
      '/commands',
      encodeCommandBatch({ fencingToken: 5, agentEpoch, commands: [command] }),
      { timeoutMs: 1500 },
    )
    .catch(() => undefined);
const putBody = (value: number) => encodeTransaction({ operations: [{ kind: 'put', key: 'k', value }] });
const taskOutcome = (n: number, taskId: string) => {
  const task = worker(n).tasks.get(taskId);
  return task?.state === 'exited' ? task.exitReason : task?.state;
};

describe('a suspended machine', () => {
  it('executes neither tasks nor commands until it resumes, and then continues both', async () => {
    startWorkersOnly(1, 5000, 60);
    void cluster.post(jobOf({ taskCount: 2 }));
    void launch(0, 'j-000001/0');
    await cluster.advance(2000);
    worker(0).suspend();
    const answer = launch(0, 'j-000001/1');
    await cluster.advance(5000);
    assert.equal(await answer, undefined);
    assert.equal(taskOutcome(0, 'j-000001/0'), 'running', 'it still has three seconds to run');
    assert.equal(taskOutcome(0, 'j-000001/1'), undefined);
    worker(0).resume();
    await cluster.advance(2000);
    assert.equal(taskOutcome(0, 'j-000001/0'), 'running');
    assert.equal(taskOutcome(0, 'j-000001/1'), 'running', 'it had received the command');
    await cluster.advance(1001);
    assert.equal(taskOutcome(0, 'j-000001/0'), 'done');
  });

  it('for longer than its lease begins a new agent epoch as soon as it resumes, and drops commands of the old one', async () => {
    startWorkersOnly();
    void cluster.post(jobOf({ taskCount: 2 }));
    void launch(0, 'j-000001/0');
    await cluster.advance(1000);
    worker(0).suspend();
    void launch(0, 'j-000001/1');
    await cluster.advance(15_000);
    assert.equal(worker(0).agentEpoch, 1);
    // The machine can't continue the task after the lease, so the task's run ends with the lease.
    assert.equal(worker(0).history[0]!.to! - worker(0).leaseRenewedAt, 10_000);
    worker(0).resume();
    await cluster.advance(10);
    assert.equal(worker(0).agentEpoch, 2);
    assert.equal(worker(0).tasks.size, 0);
    assert.equal(worker(0).history.length, 1);
  });
});

describe('a machine with outbound loss', () => {
  it('reaches no controller, but receives and answers direct commands', async () => {
    startCluster();
    await cluster.advance(3000);
    cluster.outboundLoss.add('i-0');
    const { leaseRenewedAt } = worker(0);
    void cluster.post(jobOf({}));
    const batch = encodeCommandBatch({
      fencingToken: worker(0).fencingToken,
      agentEpoch: 1,
      commands: [{ kind: 'launch', taskId: 'j-000001/0', attempt: 7 }],
    });
    const answer = cluster.network.client('n0').call('i-0:9000', 'POST', '/commands', batch, { timeoutMs: 1500 });
    await cluster.advance(3000);
    assert.equal((await answer).status, 200);
    assert.equal(worker(0).history.length, 1);
    assert.ok(worker(0).leaseRenewedAt <= leaseRenewedAt + 500);
  });
});

describe('a machine with inbound loss', () => {
  it('sends heartbeats that arrive, but receives neither answers nor commands, until its lease expires', async () => {
    startCluster();
    await cluster.advance(3000);
    cluster.inboundLoss.add('i-0');
    assert.equal(await cluster.advanceUntilSettled(launch(0, 'j-000001/0')), undefined);
    const agentEpochs = () =>
      cluster.network.log
        .filter((each) => each.from === 'i-0')
        .map((each) => decodeWorkerStatus(each.body)!.agentEpoch);
    assert.ok(!agentEpochs().includes(2));
    await cluster.advance(9000);
    assert.ok(agentEpochs().includes(2));
    assert.equal(cluster.runs('j-000001/0').length, 0);
  });
});

describe('late copies of heartbeats', () => {
  it('arrive after newer heartbeats, also from a former agent epoch', async () => {
    startCluster();
    const received: WorkerStatus[] = [];
    cluster.lateHeartbeats = { share: 0.5, lateMs: [2000, 25_000] };
    const controller = cluster.node(0);
    const answerHeartbeat = controller.answerHeartbeat.bind(controller);
    controller.answerHeartbeat = (body) => {
      received.push(decodeWorkerStatus(body)!);
      return answerHeartbeat(body);
    };
    await cluster.advance(3000);
    cluster.network.addFault({ to: 'cloud:1', kind: 'status', status: 503 });
    cluster.unreachable.add('i-0>n0');
    await cluster.advance(11_000);
    cluster.unreachable.clear();
    await cluster.advance(20_000);
    const late = received.filter((each, index) =>
      received.slice(0, index).some((other) => other.sequence > each.sequence),
    );
    assert.ok(late.length > 5);
    const firstOfNextEpoch = received.findIndex((each) => each.agentEpoch === 2);
    assert.ok(
      firstOfNextEpoch >= 0 && late.some((each) => each.agentEpoch === 1 && received.indexOf(each) > firstOfNextEpoch),
    );
  });
});

describe('late transactions', () => {
  it('get no answer and are executed after newer ones, even if the store refuses their sender by then', async () => {
    const clock = new FakeClock();
    const network = new FakeNetwork(clock);
    const store = new FakeStore(clock);
    network.serve('store:1', (method, path, body, { from, isLate }) =>
      store.handle(method, path, body, isLate === true ? undefined : from),
    );
    const put = (value: number) =>
      network.client('n0').call('store:1', 'POST', '/txn', putBody(value), { timeoutMs: 1500 });
    network.addFault({ path: /^\/txn/, kind: 'late', lateMs: [2000, 12_000], times: 1 });
    const first = put(1).then(
      () => 'answered',
      (error: unknown) => (error as NoResponseError).wasSent,
    );
    const second = put(2);
    await clock.advance(1600);
    assert.equal(await first, true);
    assert.equal((await second).status, 200);
    assert.equal(store.rows.get('k')!.value, 2);
    store.refusedNodes.add('n0');
    await clock.advance(11_000);
    assert.equal(store.rows.get('k')!.value, 1);
  });
});

describe('a slow store', () => {
  it('executes a request after half of its duration', async () => {
    const clock = new FakeClock();
    const store = new FakeStore(clock);
    store.slowMs = 800;
    let answer: HttpResponse | undefined;
    void store.handle('POST', '/txn', putBody(1)).then((reply) => (answer = reply));
    await clock.advance(390);
    assert.equal(store.rows.size, 0);
    await clock.advance(20);
    assert.equal(store.rows.size, 1);
    assert.equal(answer, undefined);
    await clock.advance(400);
    assert.equal(answer!.status, 200);
  });
});

describe('a partition that holds messages', () => {
  it('delivers them in order when it ends, even if their senders have timed out', async () => {
    const clock = new FakeClock();
    const network = new FakeNetwork(clock);
    const received: unknown[] = [];
    network.serve('b:1', (_method, _path, body) => {
      received.push(body);
      return { status: 200, body: {} };
    });
    const heal = network.partition(['a']);
    const call = (n: number) =>
      network
        .client('a')
        .call('b:1', 'POST', '/x', n, { timeoutMs: 1500 })
        .then(
          ({ status }) => status,
          () => 0,
        );
    const early = call(1);
    await clock.advance(2000);
    const late = call(2);
    await clock.advance(500);
    assert.deepEqual(received, []);
    heal();
    await clock.advance(10);
    assert.deepEqual(received, [1, 2]);
    assert.equal(await early, 0);
    assert.equal(await late, 200, 'its sender had not timed out');
  });
});

describe('a frozen controller', () => {
  it('sends a command that it was about to send only after it has thawed', async () => {
    startCluster();
    await cluster.advance(4000);
    cluster.freezeAt(0, { path: /^\/commands/, when: 'sending', forMs: 4000 });
    void cluster.post(jobOf({}));
    await cluster.advance(3500);
    assert.equal(cluster.runs('j-000001/0').length, 0);
    await cluster.advance(3500);
    assert.equal(cluster.runs('j-000001/0').length, 1);
  });

  it('sends an answer so late that the user has timed out, though the job was accepted', async () => {
    startCluster();
    await cluster.advance(4000);
    cluster.freezeAt(0, { path: /submit/, when: 'answering', forMs: 8000 });
    assert.equal((await cluster.submit({})).status, 0);
    await cluster.advance(6000);
    assert.equal((await cluster.submit({})).status, 200, 'the job had been accepted');
  });

  it('processes an answer that it has just received only after it has thawed', async () => {
    startCluster();
    await cluster.advance(4000);
    cluster.freezeAt(0, { path: /^\/txn/, when: 'answered', forMs: 3000 });
    const answer = cluster.post(jobOf({}));
    await cluster.advance(2900);
    assert.ok(cluster.store.rows.has('live/job/j-000001'));
    await cluster.advance(2000);
    assert.equal((await answer).status, 201);
  });
});

describe('a controller that restarts at once', () => {
  it('has requests of its former process still in flight', async () => {
    startCluster();
    await cluster.advance(4000);
    void cluster.restart(0, 200, [3000, 3000]);
    await cluster.advance(100);
    const answer = cluster.post(jobOf({}));
    await cluster.advance(300);
    assert.equal((await answer).status, 0);
    assert.ok(!cluster.store.rows.has('live/job/j-000001'));
    await cluster.advance(3000);
    assert.ok(cluster.store.rows.has('live/job/j-000001'));
  });
});

describe('the tasks of a gang', () => {
  const gang = { kind: 'gang', taskCount: 2, checkpointIntervalS: 10, checkpointS: 1 } as const;
  const [first, second] = ['j-000001/0', 'j-000001/1'] as const;

  it('wait for each other, and then run and finish together', async () => {
    startWorkersOnly(2, 6000);
    void cluster.post(jobOf(gang));
    worker(1).options.imageMs = 3000;
    void launch(0, first);
    void launch(1, second);
    await cluster.advance(100);
    assert.deepEqual([taskOutcome(0, first), taskOutcome(1, second)], ['waiting', 'fetching']);
    await cluster.advance(3000);
    assert.deepEqual([taskOutcome(0, first), taskOutcome(1, second)], ['running', 'running']);
    await cluster.advance(5800);
    assert.deepEqual([taskOutcome(0, first), taskOutcome(1, second)], ['running', 'running']);
    await cluster.advance(200);
    assert.deepEqual([taskOutcome(0, first), taskOutcome(1, second)], ['done', 'done']);
  });

  it('give up if the gang is incomplete, and exit when another task is killed, suspended or lost with its machine', async () => {
    startWorkersOnly(3, 5000, 60);
    void cluster.post(jobOf(gang));
    void launch(0, first);
    await cluster.advance(30_100);
    assert.equal(taskOutcome(0, first), 'gang_incomplete');
    for (const attempt of [2, 3, 4]) {
      void launch(1, first, attempt);
      void launch(2, second, attempt);
      await cluster.advance(100);
      assert.equal(taskOutcome(1, first), 'running');
      if (attempt === 2) void kill(2, second, attempt);
      if (attempt === 3) worker(2).suspend();
      if (attempt === 4) cluster.killMachine('i-2');
      await cluster.advance(4100);
      assert.equal(taskOutcome(1, first), 'peer_lost');
      if (attempt === 3) worker(2).resume();
      if (attempt < 4) void kill(2, second, attempt);
      await cluster.advance(100);
    }
  });

  it('write a checkpoint together only if all are told to stop in time', async () => {
    startWorkersOnly(2, 60_000, 60);
    void cluster.post(jobOf(gang));
    const stop = (n: number, taskId: string) => kill(n, taskId, worker(n).tasks.get(taskId)!.attempt, 2);
    for (const [attempt, both] of [true, false].entries()) {
      void launch(0, first, attempt);
      void launch(1, second, attempt);
      await cluster.advance(100);
      void stop(0, first);
      if (both) void stop(1, second);
      await cluster.advance(800);
      assert.deepEqual([taskOutcome(0, first), taskOutcome(1, second)], ['running', 'running']);
      await cluster.advance(3000 + (both ? 0 : 3000));
      assert.equal(worker(0).tasks.get(first)!.isCheckpointed === true, both);
      assert.equal(taskOutcome(1, second), both ? 'stopped' : 'peer_lost');
    }
  });
});

describe('a worker', () => {
  it('refuses tasks without room, another attempt of a running task, and tasks of unknown jobs', async () => {
    startWorkersOnly();
    void cluster.post(jobOf({ taskCount: 5 }));
    for (const taskIndex of [0, 1, 2, 3, 4]) void launch(0, `j-000001/${taskIndex}`);
    void launch(0, 'j-nobody/0');
    await cluster.advance(100);
    assert.equal(taskOutcome(0, 'j-000001/4'), 'insufficient_resources');
    assert.equal(taskOutcome(0, 'j-nobody/0'), 'unknown');
    void launch(0, 'j-000001/0', 2);
    await cluster.advance(100);
    assert.equal(worker(0).tasks.get('j-000001/0')!.attempt, 1);
    assert.equal(worker(0).history.length, 4);
  });

  it('keeps the result of a finished task: launched again, the task is done at once', async () => {
    startWorkersOnly(2);
    void cluster.post(jobOf({}));
    void launch(0, 'j-000001/0');
    await cluster.advance(6000);
    void launch(1, 'j-000001/0', 2);
    await cluster.advance(10);
    assert.equal(taskOutcome(1, 'j-000001/0'), 'done');
    assert.equal(worker(1).history[0]!.to, worker(1).history[0]!.from);
  });

  // In a randomized scenario, a machine that was gone started a task by a command that a partition had held.
  it('whose machine is gone executes no held command that is delivered later', async () => {
    startWorkersOnly();
    void cluster.post(jobOf({}));
    const gone = worker(0);
    const deliver = cluster.network.holdMessages({ to: 'i-0:9000' });
    const answer = launch(0, 'j-000001/0');
    await cluster.advance(100);
    cluster.killMachine('i-0');
    deliver();
    await cluster.advance(2000);
    assert.equal(await answer, undefined);
    assert.equal(gone.history.length, 0);
  });
});

describe('fake users', () => {
  it('retry failed requests, keep polling, and get correct answers to unusual requests', async () => {
    startCluster({ nodes: 2 }, 2);
    await cluster.advance(4000);
    cluster.store.isUnavailable = true;
    const answer = cluster.users.submit(jobOf({ id: 'j-000001' }));
    await cluster.advance(8000);
    cluster.store.endOutage();
    assert.equal((await cluster.advanceUntilSettled(answer)).status, 201);
    void cluster.users.submit(jobOf({ id: 'j-svc', kind: 'service', estimatedRunS: 0 }));
    await cluster.advance(16_000);
    assert.equal(cluster.users.jobs.get('j-000001')!.state, 'done');
    assert.equal(cluster.users.jobs.get('j-svc')!.state, 'running');
    const answers = await cluster.advanceUntilSettled(cluster.users.sendUnusualRequests());
    assert.deepEqual(
      answers.map((each) => each.status),
      [200, 200, 200, 422, 422, 400, 400, 400, 400, 404],
    );
    assert.equal(decodeJobState(answers[0]!.body), 'done');
    assert.deepEqual(cluster.stopAndCheck(), []);
  });
});

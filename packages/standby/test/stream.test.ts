import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { AdvisoryLog, batchBytes, type StreamBatch, StreamFollower, StreamSender } from '../src/index.js';

/** Fixed, so that CI always runs the same command sequences; `STANDBY_SEED` selects others. */
const SEED = Number(process.env.STANDBY_SEED ?? '27');
const MAX_LAG_MS = 2000;
const LIMITS = { bytesPerSecond: 4096, messageBytes: 400, unacknowledgedBytes: 2048, followerTimeoutMs: 5000 };
const MACHINE_IDS = ['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6', 'i-7', 'i-8', 'i-9', 'i-10', 'i-11', 'i-12'];

/** A leader and a follower, connected by links that lose, delay, reorder and duplicate messages. */
class SimulatedStream {
  time = 10_000;
  incarnation = 100;
  log = this.newLog();
  sender = this.newSender();
  readonly follower = new StreamFollower('n1', 7, MAX_LAG_MS, () => this.time);
  readonly inFlight: StreamBatch[] = [];
  /** Entry names in the log of the leader at each sequence number; keyed by incarnation and sequence number. */
  private readonly namesBySequence = new Map<string, string>();

  private newLog(): AdvisoryLog {
    return new AdvisoryLog(() => this.time, { entries: 10, removals: 4 });
  }

  private newSender(): StreamSender {
    const { incarnation, log } = this;
    return new StreamSender({ node: 'n0', incarnation, log, limits: LIMITS, now: () => this.time });
  }

  restart(): void {
    // Ensures that the next request has a later time than those before the restart.
    this.time++;
    this.incarnation++;
    this.log = this.newLog();
    this.sender = this.newSender();
  }

  put(name: string): void {
    this.log.put({ kind: 'idle', name, at: this.time, healthy: 0, unhealthy: 0 });
    this.record();
  }

  replaceAll(names: readonly string[]): void {
    this.log.replace(
      'idle',
      names.map((name) => ({ kind: 'idle', name, at: 5000, healthy: 0, unhealthy: 0 })),
    );
    this.record();
  }

  private record(): void {
    const names = this.log.changesSince(0).filter(({ entry }) => !entry.isRemoved);
    this.namesBySequence.set(`${this.incarnation} ${this.log.sequence}`, namesOf(names.map(({ entry }) => entry)));
  }

  requestChanges(): void {
    this.sender.receiveRequest(this.follower.request());
    this.sendChanges();
  }

  sendChanges(): void {
    for (const batches of this.sender.composeBatches().values()) {
      for (const batch of batches) assert.ok(batchBytes(batch) <= LIMITS.messageBytes + 96 + 64);
      this.inFlight.push(...batches);
    }
  }

  deliverAll(): void {
    for (const batch of this.inFlight.splice(0)) this.follower.receive(batch);
  }

  /** Asserts that the view equals the state of the leader at one of its sequence numbers. */
  assertConsistentView(): void {
    const { followedIncarnation, upTo } = this.follower.request();
    const known = this.namesBySequence.get(`${followedIncarnation} ${upTo}`) ?? '';
    assert.equal(namesOf(this.follower.entries('idle')), known);
  }
}

const namesOf = (entries: readonly { name: string }[]): string =>
  entries
    .map(({ name }) => name)
    .sort()
    .join();

type Command =
  | { do: 'put'; machineId: string }
  | { do: 'replace'; machineIds: string[] }
  | { do: 'request' | 'send' | 'restart' | 'drop' | 'duplicate' | 'reverse' | 'deliver' }
  | { do: 'advance'; ms: number };

const command: fc.Arbitrary<Command> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ do: fc.constant('put' as const), machineId: fc.constantFrom(...MACHINE_IDS) }) },
  fc.record({ do: fc.constant('replace' as const), machineIds: fc.subarray(MACHINE_IDS) }),
  { weight: 3, arbitrary: fc.record({ do: fc.constantFrom('request' as const, 'deliver' as const, 'send' as const) }) },
  fc.record({ do: fc.constantFrom('restart' as const, 'drop' as const, 'duplicate' as const, 'reverse' as const) }),
  fc.record({ do: fc.constant('advance' as const), ms: fc.constantFrom(10, 300, 1000, 2500) }),
);

/** With this order of snapshots, the follower kept following the former incarnation and rejected the current one forever. */
const LATE_SNAPSHOT_OF_A_FORMER_INCARNATION: Command[] = [
  { do: 'request' },
  { do: 'restart' },
  { do: 'request' },
  { do: 'reverse' },
];

function execute(stream: SimulatedStream, action: Command): void {
  const { inFlight } = stream;
  switch (action.do) {
    case 'put':
      return stream.put(action.machineId);
    case 'replace':
      return stream.replaceAll(action.machineIds);
    case 'request':
      return stream.requestChanges();
    case 'send':
      return stream.sendChanges();
    case 'restart':
      return stream.restart();
    case 'drop':
      return void inFlight.shift();
    case 'duplicate':
      if (inFlight.length > 0) inFlight.push(inFlight[0]!);
      return;
    case 'reverse':
      inFlight.reverse();
      return;
    case 'deliver':
      if (inFlight.length > 0) stream.follower.receive(inFlight.shift()!);
      return;
    case 'advance':
      stream.time += action.ms;
  }
}

describe('the stream between a leader and its follower', () => {
  it('always shows a consistent past state of the leader despite link faults, and the latest state once links work', () => {
    fc.assert(
      fc.property(fc.array(command, { maxLength: 60 }), (commands) => {
        const stream = new SimulatedStream();
        for (const action of commands) {
          execute(stream, action);
          stream.assertConsistentView();
        }
        stream.put('i-last');
        for (let round = 0; round < 6; round++) {
          stream.time += 1000;
          stream.deliverAll();
          stream.requestChanges();
          stream.deliverAll();
          stream.assertConsistentView();
        }
        assert.equal(stream.follower.request().upTo, stream.log.sequence);
        assert.equal(stream.follower.request().followedIncarnation, stream.incarnation);
      }),
      { seed: SEED, numRuns: 400, examples: [[LATE_SNAPSHOT_OF_A_FORMER_INCARNATION]] },
    );
  });

  it('rejects batches that are too old, answer another process, or come from a former incarnation', () => {
    const stream = new SimulatedStream();
    stream.put('i-1');
    stream.requestChanges();
    const [delayed] = stream.inFlight;
    stream.time += MAX_LAG_MS + 1;
    assert.deepEqual(stream.follower.receive(delayed!), { kind: 'refused', reason: 'too_old' });
    const foreign = { ...delayed!, echo: { incarnation: 8, clock: stream.time } };
    assert.deepEqual(stream.follower.receive(foreign), { kind: 'refused', reason: 'other_incarnation' });
    stream.inFlight.length = 0;
    stream.requestChanges();
    stream.requestChanges();
    stream.requestChanges();
    stream.deliverAll();
    assert.equal(stream.follower.size, 1);
    stream.restart();
    stream.put('i-2');
    stream.requestChanges();
    stream.deliverAll();
    const former = { ...delayed!, echo: { incarnation: 7, clock: stream.time } };
    assert.deepEqual(stream.follower.receive(former), { kind: 'refused', reason: 'former_incarnation' });
    assert.equal(namesOf(stream.follower.entries('idle')), 'i-2');
  });

  it('keeps the previous view until the last part of a snapshot has arrived', () => {
    const stream = new SimulatedStream();
    stream.put('i-1');
    stream.requestChanges();
    stream.deliverAll();
    stream.restart();
    for (const machineId of MACHINE_IDS.slice(0, 10)) stream.put(machineId.repeat(20));
    stream.requestChanges();
    assert.ok(stream.inFlight.length > 1);
    const last = stream.inFlight.pop()!;
    stream.deliverAll();
    assert.equal(namesOf(stream.follower.entries('idle')), 'i-1');
    stream.follower.receive(last);
    assert.equal(stream.follower.size, 10);
  });

  it('stops sending at the limit of unacknowledged bytes to a follower that does not acknowledge', () => {
    const stream = new SimulatedStream();
    stream.requestChanges();
    stream.deliverAll();
    stream.requestChanges();
    let bytes = 0;
    for (let ms = 0; ms < 10_000; ms += 100) {
      stream.time += 100;
      stream.put(MACHINE_IDS[(ms / 100) % MACHINE_IDS.length]!);
      stream.sendChanges();
      bytes += stream.inFlight.splice(0).reduce((sum, batch) => sum + batchBytes(batch), 0);
    }
    assert.ok(bytes <= LIMITS.unacknowledgedBytes + LIMITS.messageBytes, `${bytes} bytes unanswered`);
    assert.equal(stream.sender.status.followers, 0);
  });

  it('computes the time of an entry as arrival time minus age, so the error is at most the lag', () => {
    const stream = new SimulatedStream();
    stream.replaceAll(['i-1']);
    stream.requestChanges();
    stream.time += 700;
    stream.deliverAll();
    const [entry] = stream.follower.entries('idle');
    assert.equal(entry!.at, 5700);
    assert.equal(stream.follower.lagMs, 700);
  });
});

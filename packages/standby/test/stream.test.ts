import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { AdvisoryLog, batchBytes, type StreamBatch, StreamFollower, StreamSender } from '../src/index.js';

/** CI runs the same ones each time; `STANDBY_SEED` selects others. */
const SEED = Number(process.env.STANDBY_SEED ?? '27');
const MAX_LAG_MS = 2000;
const BOUNDS = { bytesPerSecond: 4096, messageBytes: 400, unacknowledgedBytes: 2048, followerTimeoutMs: 5000 };
const MACHINE_IDS = ['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6', 'i-7', 'i-8', 'i-9', 'i-10', 'i-11', 'i-12'];

/** A leader, a follower, and links that lose, delay and duplicate messages. */
class Stream {
  time = 10_000;
  incarnation = 100;
  log = this.newLog();
  sender = this.newSender();
  readonly follower = new StreamFollower('n1', 7, MAX_LAG_MS, () => this.time);
  readonly inFlight: StreamBatch[] = [];
  /** What the leader knew at each of its sequence numbers, by incarnation. */
  private readonly history = new Map<string, string>();

  private newLog(): AdvisoryLog {
    return new AdvisoryLog(() => this.time, { entries: 10, removals: 4 });
  }

  private newSender(): StreamSender {
    const { incarnation, log } = this;
    return new StreamSender({ node: 'n0', incarnation, log, limits: BOUNDS, now: () => this.time });
  }

  restart(): void {
    // The next request comes later, if by ever so little.
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
    this.history.set(`${this.incarnation} ${this.log.sequence}`, namesOf(names.map(({ entry }) => entry)));
  }

  ask(): void {
    this.sender.receiveRequest(this.follower.request());
    this.compose();
  }

  compose(): void {
    for (const batches of this.sender.composeBatches().values()) {
      for (const batch of batches) assert.ok(batchBytes(batch) <= BOUNDS.messageBytes + 96 + 64);
      this.inFlight.push(...batches);
    }
  }

  deliverAll(): void {
    for (const batch of this.inFlight.splice(0)) this.follower.receive(batch);
  }

  /** The view is what the leader knew at one of its sequence numbers, as a whole. */
  assertWhole(): void {
    const { followedIncarnation, upTo } = this.follower.request();
    const known = this.history.get(`${followedIncarnation} ${upTo}`) ?? '';
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
  | { do: 'ask' | 'compose' | 'restart' | 'lose' | 'repeat' | 'swap' | 'deliver' }
  | { do: 'pass'; ms: number };

const command: fc.Arbitrary<Command> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ do: fc.constant('put' as const), machineId: fc.constantFrom(...MACHINE_IDS) }) },
  fc.record({ do: fc.constant('replace' as const), machineIds: fc.subarray(MACHINE_IDS) }),
  { weight: 3, arbitrary: fc.record({ do: fc.constantFrom('ask' as const, 'deliver' as const, 'compose' as const) }) },
  fc.record({ do: fc.constantFrom('restart' as const, 'lose' as const, 'repeat' as const, 'swap' as const) }),
  fc.record({ do: fc.constant('pass' as const), ms: fc.constantFrom(10, 300, 1000, 2500) }),
);

/** Found by the property: the former incarnation was believed for good, and the present one always refused. */
const LATE_SNAPSHOT_OF_A_FORMER_INCARNATION: Command[] = [
  { do: 'ask' },
  { do: 'restart' },
  { do: 'ask' },
  { do: 'swap' },
];

function carryOut(stream: Stream, each: Command): void {
  const { inFlight } = stream;
  switch (each.do) {
    case 'put':
      return stream.put(each.machineId);
    case 'replace':
      return stream.replaceAll(each.machineIds);
    case 'ask':
      return stream.ask();
    case 'compose':
      return stream.compose();
    case 'restart':
      return stream.restart();
    case 'lose':
      return void inFlight.shift();
    case 'repeat':
      if (inFlight.length > 0) inFlight.push(inFlight[0]!);
      return;
    case 'swap':
      inFlight.reverse();
      return;
    case 'deliver':
      if (inFlight.length > 0) stream.follower.receive(inFlight.shift()!);
      return;
    case 'pass':
      stream.time += each.ms;
  }
}

describe('the stream between a leader and its follower', () => {
  it('shows the follower a consistent view of what the leader knew at one moment, whatever the links do, and all of it once they work', () => {
    fc.assert(
      fc.property(fc.array(command, { maxLength: 60 }), (commands) => {
        const stream = new Stream();
        for (const each of commands) {
          carryOut(stream, each);
          stream.assertWhole();
        }
        stream.put('i-last');
        for (let round = 0; round < 6; round++) {
          stream.time += 1000;
          stream.deliverAll();
          stream.ask();
          stream.deliverAll();
          stream.assertWhole();
        }
        assert.equal(stream.follower.request().upTo, stream.log.sequence);
        assert.equal(stream.follower.request().followedIncarnation, stream.incarnation);
      }),
      { seed: SEED, numRuns: 400, examples: [[LATE_SNAPSHOT_OF_A_FORMER_INCARNATION]] },
    );
  });

  it('refuses what a cut has delayed, what another process requested, and what a former incarnation sent', () => {
    const stream = new Stream();
    stream.put('i-1');
    stream.ask();
    const [late] = stream.inFlight;
    stream.time += MAX_LAG_MS + 1;
    assert.deepEqual(stream.follower.receive(late!), { kind: 'refused', reason: 'too_old' });
    const foreign = { ...late!, echo: { incarnation: 8, clock: stream.time } };
    assert.deepEqual(stream.follower.receive(foreign), { kind: 'refused', reason: 'other_incarnation' });
    stream.inFlight.length = 0;
    stream.ask();
    stream.ask();
    stream.ask();
    stream.deliverAll();
    assert.equal(stream.follower.size, 1);
    stream.restart();
    stream.put('i-2');
    stream.ask();
    stream.deliverAll();
    const former = { ...late!, echo: { incarnation: 7, clock: stream.time } };
    assert.deepEqual(stream.follower.receive(former), { kind: 'refused', reason: 'former_incarnation' });
    assert.equal(namesOf(stream.follower.entries('idle')), 'i-2');
  });

  it('keeps the old view until the last part of a snapshot has arrived', () => {
    const stream = new Stream();
    stream.put('i-1');
    stream.ask();
    stream.deliverAll();
    stream.restart();
    for (const machineId of MACHINE_IDS.slice(0, 10)) stream.put(machineId.repeat(20));
    stream.ask();
    assert.ok(stream.inFlight.length > 1);
    const last = stream.inFlight.pop()!;
    stream.deliverAll();
    assert.equal(namesOf(stream.follower.entries('idle')), 'i-1');
    stream.follower.receive(last);
    assert.equal(stream.follower.size, 10);
  });

  it('sends nothing more to a follower that does not acknowledge, within the limits of bytes', () => {
    const stream = new Stream();
    stream.ask();
    stream.deliverAll();
    stream.ask();
    let bytes = 0;
    for (let ms = 0; ms < 10_000; ms += 100) {
      stream.time += 100;
      stream.put(MACHINE_IDS[(ms / 100) % MACHINE_IDS.length]!);
      stream.compose();
      bytes += stream.inFlight.splice(0).reduce((sum, batch) => sum + batchBytes(batch), 0);
    }
    assert.ok(bytes <= BOUNDS.unacknowledgedBytes + BOUNDS.messageBytes, `${bytes} bytes unanswered`);
    assert.equal(stream.sender.status.followers, 0);
  });

  it('dates an entry by its arrival less its age, so the error is at most the lag', () => {
    const stream = new Stream();
    stream.replaceAll(['i-1']);
    stream.ask();
    stream.time += 700;
    stream.deliverAll();
    const [entry] = stream.follower.entries('idle');
    assert.equal(entry!.at, 5700);
    assert.equal(stream.follower.lagMs, 700);
  });
});

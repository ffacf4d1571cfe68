import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { DELTA_BYTES, TOMBSTONES_KEPT } from '../src/constants.js';
import { Coverage } from '../src/mesh/coverage.js';
import type { Gossip, Message } from '../src/mesh/messages.js';
import type { StateClient } from '../src/state/client.js';
import { Replica } from '../src/state/replica.js';
import { FakeClock } from '../src/testing/fake-clock.js';

const clock = new FakeClock();

/** A copy that is complete up to a revision. */
function copy(epoch = 0): Replica {
  const replica = new Replica({} as StateClient, 'live/', clock);
  replica.loaded = true;
  replica.completeTo(epoch);
  return replica;
}

const set = (key: string, stamp: number) => ({ key: `live/${key}`, value: { n: stamp, text } as unknown, stamp });
const drop = (key: string, stamp: number) => ({ key: `live/${key}`, value: undefined, stamp });

/** Links two copies as nodes do, and lets the first bring its own up from the second; counts the messages that tell of records. */
function bringUp(to: Replica, from: Replica, between: (message: Message) => void = () => undefined): number {
  let told = 0;
  const carry: Message[] = [];
  const mine = new Coverage('n0', ['n1'], 5, to, clock, (_, message) => carry.push(message));
  const peers = new Coverage('n1', ['n0'], 7, from, clock, (_, message) => carry.push(message));
  mine.hear(gossip({ version: from.version }));
  for (let message = carry.shift(); message !== undefined; message = carry.shift()) {
    assert.ok(++told < 1000, 'it comes to an end');
    if ('ask' in message) peers.answer(message.ask);
    else if ('delta' in message) mine.take(message.delta);
    between(message);
  }
  return told / 2;
}

const gossip = (fields: Partial<Gossip>): Gossip =>
  ({ node: 'n1', life: 7, version: 0, loaded: true, clock: 1, freshAgeMs: 0, echo: null, ...fields }) as Gossip;

const text = 'x'.repeat(DELTA_BYTES / 8);

describe('a copy brought up from a peer', () => {
  it('holds all that the peer holds, drops too, whatever fits one message, and is complete as far as the peer', () => {
    const peer = copy();
    const mine = copy();
    for (const each of [peer, mine]) each.apply(set('job/a', 1));
    mine.completeTo(1);
    // The transactions of one revision go together; the last one the peer knows only by its own answer.
    for (let stamp = 2; stamp < 40; stamp++) for (const key of ['x', 'y']) peer.apply(set(`${key}/${stamp}`, stamp));
    peer.apply(drop('job/a', 40));
    peer.completeTo(40);
    peer.apply(set('job/z', 45));
    assert.ok(bringUp(mine, peer) > 5);
    assert.equal(mine.epoch, 40);
    assert.deepEqual(mine.get('live/job/a'), { value: undefined, stamp: 0 });
    assert.deepEqual(mine.get('live/y/39'), { value: { n: 39, text }, stamp: 39 });
    assert.deepEqual(mine.get('live/job/z'), { value: { n: 45, text }, stamp: 45 });
  });

  it('is no more complete where the peer has forgotten drops that it lacks', () => {
    const peer = copy();
    const mine = copy();
    for (const each of [peer, mine]) each.apply(set('job/old', 1));
    mine.completeTo(1);
    for (let n = 0; n <= TOMBSTONES_KEPT; n++) peer.apply(drop(n === 0 ? 'job/old' : `job/${n}`, n + 2));
    peer.completeTo(TOMBSTONES_KEPT + 2);
    peer.apply(set('job/new', TOMBSTONES_KEPT + 3));
    // What is held beyond the complete revision takes several messages too.
    for (let n = 4; n < 30; n++) peer.apply(set(`job/n${n}`, TOMBSTONES_KEPT + n));
    assert.ok(bringUp(mine, peer) > 2);
    assert.equal(mine.epoch, 1, 'the watch will tell of the drop');
    assert.notEqual(mine.get('live/job/new').value, undefined);
  });

  it('does not bring back what it has seen dropped, by a message that was held up', () => {
    const peer = copy();
    const mine = copy();
    peer.apply(set('job/a', 3));
    peer.completeTo(3);
    const held: Message[] = [];
    new Coverage('n1', ['n0'], 7, peer, clock, (_, message) => held.push(message)).answer({
      node: 'n0',
      from: 0,
      after: 0,
    });
    mine.completeTo(9);
    for (const message of held) {
      if ('delta' in message) new Coverage('n0', ['n1'], 5, mine, clock, () => undefined).take(message.delta);
    }
    assert.equal(held.length, 1);
    assert.equal(mine.get('live/job/a').value, undefined);
    assert.equal(mine.epoch, 9);
  });

  it('is not taken for whole where the peer has taken in more between two messages', () => {
    const peer = copy();
    const mine = copy();
    for (let stamp = 1; stamp < 30; stamp++) peer.apply(set(`job/${stamp}`, stamp));
    peer.completeTo(30);
    bringUp(mine, peer, (message) => {
      if ('delta' in message && message.delta.after > 0) peer.hear(set('job/late', 31));
    });
    assert.equal(mine.epoch, 0);
    bringUp(mine, peer);
    assert.equal(mine.epoch, 30);
    assert.notEqual(mine.get('live/job/late').value, undefined);
  });
});

describe('the word of a peer', () => {
  const ready = () => new Coverage('n0', ['n1'], 5, copy(), clock, () => undefined);
  const merge = (coverage: Coverage) =>
    coverage.take({ node: 'n1', life: 7, version: 0, from: 0, after: 0, last: 0, whole: true, upTo: 0, changes: [] });

  it('counts from the moment of our own clock that it echoes, however late it comes', () => {
    const coverage = ready();
    merge(coverage);
    coverage.hear(gossip({ echo: { life: 5, clock: 400 } }));
    assert.equal(coverage.asOf(), 400);
    coverage.hear(gossip({ echo: { life: 5, clock: 300 } }));
    assert.equal(coverage.asOf(), 400);
  });

  it('counts for nothing without an echo of this very process, without a copy, or when its copy holds more', () => {
    const coverage = ready();
    merge(coverage);
    coverage.hear(gossip({}));
    coverage.hear(gossip({ echo: { life: 4, clock: 400 } }));
    coverage.hear(gossip({ echo: { life: 5, clock: 400 }, loaded: false }));
    coverage.hear(gossip({ echo: { life: 5, clock: 400 }, version: 1 }));
    coverage.hear(gossip({ echo: { life: 5, clock: 400 }, life: 8 }));
    assert.equal(coverage.asOf(), -Infinity);
  });
});

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { TOMBSTONES_KEPT } from '../src/constants.js';
import { Coverage } from '../src/mesh/coverage.js';
import type { Gossip } from '../src/mesh/messages.js';
import type { StateClient } from '../src/state/client.js';
import { readChanges, Replica } from '../src/state/replica.js';
import { FakeClock } from '../src/testing/fake-clock.js';

const clock = new FakeClock();

/** A copy that is complete up to a revision. */
function copy(epoch = 0): Replica {
  const replica = new Replica({} as StateClient, 'live/', clock);
  replica.loaded = true;
  replica.takeSince(0, epoch, []);
  return replica;
}

const set = (key: string, stamp: number) => ({ key: `live/${key}`, value: { n: stamp } as unknown, stamp });
const drop = (key: string, stamp: number) => ({ key: `live/${key}`, value: undefined, stamp });

/** Brings one copy up from another as nodes do, in messages of so many bytes; returns their number. */
function bringUp(to: Replica, from: Replica, bytes: number): number {
  for (let messages = 1; ; messages++) {
    const asked = to.epoch;
    const { changes, upTo, whole } = from.since(asked, bytes);
    assert.ok(to.takeSince(asked, upTo, readChanges(changes)));
    if (whole) return messages;
  }
}

describe('a copy brought up from a peer', () => {
  it('holds all that the peer holds, drops too, whatever fits one message, and is complete as far as the peer', () => {
    const peer = copy();
    const mine = copy();
    for (const each of [peer, mine]) each.apply(set('job/a', 1));
    mine.takeSince(0, 1, []);
    // The transactions of one revision go together; the last one the peer knows only by its own answer.
    for (let stamp = 2; stamp < 40; stamp++) for (const key of ['x', 'y']) peer.apply(set(`${key}/${stamp}`, stamp));
    peer.apply(drop('job/a', 40));
    peer.takeSince(0, 40, []);
    peer.apply(set('job/z', 45));
    assert.ok(bringUp(mine, peer, 200) > 5);
    assert.equal(mine.epoch, 40);
    assert.deepEqual(mine.get('live/job/a'), { value: undefined, stamp: 0 });
    assert.deepEqual(mine.get('live/y/39'), { value: { n: 39 }, stamp: 39 });
    assert.deepEqual(mine.get('live/job/z'), { value: { n: 45 }, stamp: 45 });
  });

  it('is no more complete where the peer has forgotten drops that it lacks', () => {
    const peer = copy();
    const mine = copy();
    for (const each of [peer, mine]) each.apply(set('job/old', 1));
    mine.takeSince(0, 1, []);
    for (let n = 0; n <= TOMBSTONES_KEPT; n++) peer.apply(drop(n === 0 ? 'job/old' : `job/${n}`, n + 2));
    peer.takeSince(0, TOMBSTONES_KEPT + 2, []);
    peer.apply(set('job/new', TOMBSTONES_KEPT + 3));
    bringUp(mine, peer, 1e9);
    assert.equal(mine.epoch, 1, 'the watch will tell of the drop');
    assert.notEqual(mine.get('live/job/new').value, undefined);
  });

  it('does not bring back what it has seen dropped, by a message that was held up', () => {
    const peer = copy();
    const mine = copy();
    peer.apply(set('job/a', 3));
    peer.takeSince(0, 3, []);
    const held = peer.since(0, 1e9);
    mine.takeSince(0, 9, []);
    assert.ok(mine.takeSince(0, held.upTo, readChanges(held.changes)));
    assert.equal(mine.get('live/job/a').value, undefined);
    assert.equal(mine.epoch, 9);
  });
});

describe('the word of a peer', () => {
  const gossip = (fields: Partial<Gossip>): Gossip =>
    ({ node: 'n1', life: 7, version: 0, loaded: true, clock: 1, freshAgeMs: 0, echo: null, ...fields }) as Gossip;
  const ready = () => new Coverage('n0', ['n1'], 5, copy(), clock, () => undefined);
  const merge = (coverage: Coverage) =>
    coverage.take({ node: 'n1', life: 7, version: 0, from: 0, upTo: 0, whole: true, changes: [] });

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

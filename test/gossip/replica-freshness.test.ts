import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { DELTA_BYTES } from '../../src/constants/gossip.js';
import { TOMBSTONES_KEPT } from '../../src/constants/store.js';
import { ReplicaFreshness } from '../../src/gossip/replica-freshness.js';
import type { Gossip, Message } from '../../src/gossip/messages.js';
import type { StoreClient } from '../../src/store/store-client.js';
import { Replica } from '../../src/store/replica.js';
import { FakeClock } from '../../testing/fake-clock.js';

const clock = new FakeClock();

/** A copy that is complete up to a revision. */
function copy(revision = 0): Replica {
  const replica = new Replica({} as StoreClient, 'live/', clock);
  replica.isLoaded = true;
  replica.completeTo(revision);
  return replica;
}

const set = (key: string, modRevision: number) => ({
  key: `live/${key}`,
  value: { n: modRevision, text } as unknown,
  modRevision,
});
const drop = (key: string, modRevision: number) => ({ key: `live/${key}`, value: undefined, modRevision });

/** Of one of the nodes n0 and n1, whose only peer is the other. */
const freshnessOf = (
  node: 'n0' | 'n1',
  incarnation: number,
  replica: Replica,
  send: (node: string, message: Message) => void,
): ReplicaFreshness =>
  new ReplicaFreshness({ node, peers: [node === 'n0' ? 'n1' : 'n0'], incarnation, replica, clock, send });

/** Links two copies as nodes do, and lets the first bring its own up from the second; counts the messages that tell of records. */
function bringUp(to: Replica, from: Replica, between: (message: Message) => void = () => undefined): number {
  let told = 0;
  const carry: Message[] = [];
  const mine = freshnessOf('n0', 5, to, (_, message) => carry.push(message));
  const peers = freshnessOf('n1', 7, from, (_, message) => carry.push(message));
  mine.applyGossip(gossip({ version: from.version }));
  for (let message = carry.shift(); message !== undefined; message = carry.shift()) {
    assert.ok(++told < 1000, 'it comes to an end');
    if (message.kind === 'delta_request') peers.answerDeltaRequest(message.payload);
    else if (message.kind === 'replica_delta') mine.applyDelta(message.payload);
    between(message);
  }
  return told / 2;
}

const gossip = (fields: Partial<Gossip>): Gossip =>
  ({
    node: 'n1',
    incarnation: 7,
    version: 0,
    isLoaded: true,
    clockMs: 1,
    replicaAgeMs: 0,
    echo: null,
    ...fields,
  }) as Gossip;

const text = 'x'.repeat(DELTA_BYTES / 8);

describe('a copy brought up from a peer', () => {
  it('holds all that the peer holds, drops too, whatever fits one message, and is complete as far as the peer', () => {
    const peer = copy();
    const mine = copy();
    for (const each of [peer, mine]) each.apply(set('job/a', 1));
    mine.completeTo(1);
    // The transactions of one revision go together; the last one the peer knows only by its own answer.
    for (let modRevision = 2; modRevision < 40; modRevision++)
      for (const key of ['x', 'y']) peer.apply(set(`${key}/${modRevision}`, modRevision));
    peer.apply(drop('job/a', 40));
    peer.completeTo(40);
    peer.apply(set('job/z', 45));
    assert.ok(bringUp(mine, peer) > 5);
    assert.equal(mine.revision, 40);
    assert.deepEqual(mine.get('live/job/a'), { value: undefined, modRevision: 0 });
    assert.deepEqual(mine.get('live/y/39'), { value: { n: 39, text }, modRevision: 39 });
    assert.deepEqual(mine.get('live/job/z'), { value: { n: 45, text }, modRevision: 45 });
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
    assert.equal(mine.revision, 1, 'the watch will tell of the drop');
    assert.notEqual(mine.get('live/job/new').value, undefined);
  });

  it('does not bring back what it has seen dropped, by a message that was held up', () => {
    const peer = copy();
    const mine = copy();
    peer.apply(set('job/a', 3));
    peer.completeTo(3);
    const held: Message[] = [];
    freshnessOf('n1', 7, peer, (_, message) => held.push(message)).answerDeltaRequest({
      node: 'n0',
      fromRevision: 0,
      afterRevision: 0,
    });
    mine.completeTo(9);
    for (const message of held) {
      if (message.kind === 'replica_delta') freshnessOf('n0', 5, mine, () => undefined).applyDelta(message.payload);
    }
    assert.equal(held.length, 1);
    assert.equal(mine.get('live/job/a').value, undefined);
    assert.equal(mine.revision, 9);
  });

  it('is not taken for whole where the peer has taken in more between two messages', () => {
    const peer = copy();
    const mine = copy();
    for (let modRevision = 1; modRevision < 30; modRevision++) peer.apply(set(`job/${modRevision}`, modRevision));
    peer.completeTo(30);
    bringUp(mine, peer, (message) => {
      if (message.kind === 'replica_delta' && message.payload.afterRevision > 0)
        peer.applyFromPeer(set('job/late', 31));
    });
    assert.equal(mine.revision, 0);
    bringUp(mine, peer);
    assert.equal(mine.revision, 30);
    assert.notEqual(mine.get('live/job/late').value, undefined);
  });
});

describe('the word of a peer', () => {
  const ready = () => freshnessOf('n0', 5, copy(), () => undefined);
  const merge = (replicaFreshness: ReplicaFreshness) =>
    replicaFreshness.applyDelta({
      node: 'n1',
      incarnation: 7,
      version: 0,
      fromRevision: 0,
      afterRevision: 0,
      lastRevision: 0,
      isComplete: true,
      completeRevision: 0,
      changes: [],
    });

  it('counts from the moment of our own clock that it echoes, however late it comes', () => {
    const replicaFreshness = ready();
    merge(replicaFreshness);
    replicaFreshness.applyGossip(gossip({ echo: { incarnation: 5, clockMs: 400 } }));
    assert.equal(replicaFreshness.completeAsOf(), 400);
    replicaFreshness.applyGossip(gossip({ echo: { incarnation: 5, clockMs: 300 } }));
    assert.equal(replicaFreshness.completeAsOf(), 400);
  });

  it('counts for nothing without an echo of this very process, without a copy, or when its copy holds more', () => {
    const replicaFreshness = ready();
    merge(replicaFreshness);
    replicaFreshness.applyGossip(gossip({}));
    replicaFreshness.applyGossip(gossip({ echo: { incarnation: 4, clockMs: 400 } }));
    replicaFreshness.applyGossip(gossip({ echo: { incarnation: 5, clockMs: 400 }, isLoaded: false }));
    replicaFreshness.applyGossip(gossip({ echo: { incarnation: 5, clockMs: 400 }, version: 1 }));
    replicaFreshness.applyGossip(gossip({ echo: { incarnation: 5, clockMs: 400 }, incarnation: 8 }));
    assert.equal(replicaFreshness.completeAsOf(), -Infinity);
  });
});

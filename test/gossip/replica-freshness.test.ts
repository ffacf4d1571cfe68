import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { DELTA_BYTES } from '../../src/constants/gossip.js';
import { TOMBSTONES_KEPT } from '../../src/constants/store.js';
import type { Gossip, Message } from '../../src/gossip/messages.js';
import { ReplicaFreshness } from '../../src/gossip/replica-freshness.js';
import { Replica } from '../../src/store/replica.js';
import type { StoreClient } from '../../src/store/store-client.js';
import { FakeClock } from '../../testing/fake-clock.js';

const clock = new FakeClock();

/** A replica that is complete up to a revision. */
function replicaAt(revision = 0): Replica {
  const replica = new Replica({} as unknown as StoreClient, 'live/', clock);
  replica.isLoaded = true;
  replica.completeTo(revision);
  return replica;
}

const put = (key: string, modRevision: number) => ({
  key: `live/${key}`,
  value: { n: modRevision, text } as unknown,
  modRevision,
});
const deletion = (key: string, modRevision: number) => ({ key: `live/${key}`, value: undefined, modRevision });

/** Of one of the nodes n0 and n1, whose only peer is the other. */
const freshnessOf = (
  node: 'n0' | 'n1',
  incarnation: number,
  replica: Replica,
  send: (node: string, message: Message) => void,
): ReplicaFreshness =>
  new ReplicaFreshness({ node, peers: [node === 'n0' ? 'n1' : 'n0'], incarnation, replica, clock, send });

/** Connects two replicas as nodes do and updates the first from the second; returns the number of delta messages. */
function updateFromPeer(to: Replica, from: Replica, between: (message: Message) => void = () => undefined): number {
  let messageCount = 0;
  const inTransit: Message[] = [];
  const mine = freshnessOf('n0', 5, to, (_, message) => inTransit.push(message));
  const peers = freshnessOf('n1', 7, from, (_, message) => inTransit.push(message));
  mine.applyGossip(gossip({ version: from.version }));
  for (let message = inTransit.shift(); message !== undefined; message = inTransit.shift()) {
    assert.ok(++messageCount < 1000, 'the exchange ends');
    if (message.kind === 'delta_request') peers.answerDeltaRequest(message.payload);
    else if (message.kind === 'replica_delta') mine.applyDelta(message.payload);
    between(message);
  }
  return messageCount / 2;
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

describe('a replica updated from a peer', () => {
  it('contains all that the peer contains, deletions included, over several messages, and is complete as far as the peer', () => {
    const peer = replicaAt();
    const mine = replicaAt();
    for (const each of [peer, mine]) each.apply(put('job/a', 1));
    mine.completeTo(1);
    // The transactions of one revision go together; the last one the peer knows only by its own answer.
    for (let modRevision = 2; modRevision < 40; modRevision++)
      for (const key of ['x', 'y']) peer.apply(put(`${key}/${modRevision}`, modRevision));
    peer.apply(deletion('job/a', 40));
    peer.completeTo(40);
    peer.apply(put('job/z', 45));
    assert.ok(updateFromPeer(mine, peer) > 5);
    assert.equal(mine.revision, 40);
    assert.deepEqual(mine.get('live/job/a'), { value: undefined, modRevision: 0 });
    assert.deepEqual(mine.get('live/y/39'), { value: { n: 39, text }, modRevision: 39 });
    assert.deepEqual(mine.get('live/job/z'), { value: { n: 45, text }, modRevision: 45 });
  });

  it('is no more complete than before if the peer has discarded tombstones that it lacks', () => {
    const peer = replicaAt();
    const mine = replicaAt();
    for (const each of [peer, mine]) each.apply(put('job/old', 1));
    mine.completeTo(1);
    for (let n = 0; n <= TOMBSTONES_KEPT; n++) peer.apply(deletion(n === 0 ? 'job/old' : `job/${n}`, n + 2));
    peer.completeTo(TOMBSTONES_KEPT + 2);
    peer.apply(put('job/new', TOMBSTONES_KEPT + 3));
    // What the peer has beyond the complete revision takes several messages too.
    for (let n = 4; n < 30; n++) peer.apply(put(`job/n${n}`, TOMBSTONES_KEPT + n));
    assert.ok(updateFromPeer(mine, peer) > 2);
    assert.equal(mine.revision, 1, 'the watch will deliver the deletion');
    assert.notEqual(mine.get('live/job/new').value, undefined);
  });

  it('does not restore a deleted record from a delayed message', () => {
    const peer = replicaAt();
    const mine = replicaAt();
    peer.apply(put('job/a', 3));
    peer.completeTo(3);
    const delayed: Message[] = [];
    freshnessOf('n1', 7, peer, (_, message) => delayed.push(message)).answerDeltaRequest({
      node: 'n0',
      fromRevision: 0,
      afterRevision: 0,
    });
    mine.completeTo(9);
    for (const message of delayed) {
      if (message.kind === 'replica_delta') freshnessOf('n0', 5, mine, () => undefined).applyDelta(message.payload);
    }
    assert.equal(delayed.length, 1);
    assert.equal(mine.get('live/job/a').value, undefined);
    assert.equal(mine.revision, 9);
  });

  it('does not count as complete if the peer has applied more changes between two messages', () => {
    const peer = replicaAt();
    const mine = replicaAt();
    for (let modRevision = 1; modRevision < 30; modRevision++) peer.apply(put(`job/${modRevision}`, modRevision));
    peer.completeTo(30);
    updateFromPeer(mine, peer, (message) => {
      if (message.kind === 'replica_delta' && message.payload.afterRevision > 0)
        peer.applyFromPeer(put('job/late', 31));
    });
    assert.equal(mine.revision, 0);
    updateFromPeer(mine, peer);
    assert.equal(mine.revision, 30);
    assert.notEqual(mine.get('live/job/late').value, undefined);
  });
});

describe('gossip of a peer', () => {
  const createFreshness = () => freshnessOf('n0', 5, replicaAt(), () => undefined);
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

  it('counts from the instant of the own clock that it echoes, however late it arrives', () => {
    const replicaFreshness = createFreshness();
    merge(replicaFreshness);
    replicaFreshness.applyGossip(gossip({ echo: { incarnation: 5, clockMs: 400 } }));
    assert.equal(replicaFreshness.completeAsOf(), 400);
    replicaFreshness.applyGossip(gossip({ echo: { incarnation: 5, clockMs: 300 } }));
    assert.equal(replicaFreshness.completeAsOf(), 400);
  });

  it('proves nothing without an echo of this incarnation, without a loaded replica, or when its replica contains more', () => {
    const replicaFreshness = createFreshness();
    merge(replicaFreshness);
    replicaFreshness.applyGossip(gossip({}));
    replicaFreshness.applyGossip(gossip({ echo: { incarnation: 4, clockMs: 400 } }));
    replicaFreshness.applyGossip(gossip({ echo: { incarnation: 5, clockMs: 400 }, isLoaded: false }));
    replicaFreshness.applyGossip(gossip({ echo: { incarnation: 5, clockMs: 400 }, version: 1 }));
    replicaFreshness.applyGossip(gossip({ echo: { incarnation: 5, clockMs: 400 }, incarnation: 8 }));
    assert.equal(replicaFreshness.completeAsOf(), -Infinity);
  });
});

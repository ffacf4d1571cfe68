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

/** Creates a loaded replica that is complete up to a revision. */
function createReplica(revision = 0): Replica {
  const replica = new Replica({} as unknown as StoreClient, 'live/', clock);
  replica.isLoaded = true;
  replica.markCompleteTo(revision);
  return replica;
}

const put = (key: string, modRevision: number) => ({
  key: `live/${key}`,
  value: { n: modRevision, text } as unknown,
  modRevision,
});
const deletion = (key: string, modRevision: number) => ({ key: `live/${key}`, value: undefined, modRevision });

/** Creates the freshness tracker of n0 or n1; each is the only peer of the other. */
const createFreshness = (
  node: 'n0' | 'n1',
  incarnation: number,
  replica: Replica,
  send: (node: string, message: Message) => void,
): ReplicaFreshness =>
  new ReplicaFreshness({ node, peers: [node === 'n0' ? 'n1' : 'n0'], incarnation, replica, clock, send });

/** Updates the replica `to` of n0 from the replica `from` of n1 by messages; returns the number of delta messages. */
function updateFromPeer(to: Replica, from: Replica, onMessage: (message: Message) => void = () => undefined): number {
  let messageCount = 0;
  const inTransit: Message[] = [];
  const ownFreshness = createFreshness('n0', 5, to, (_, message) => inTransit.push(message));
  const peerFreshness = createFreshness('n1', 7, from, (_, message) => inTransit.push(message));
  ownFreshness.applyGossip(gossip({ version: from.version }));
  for (let message = inTransit.shift(); message !== undefined; message = inTransit.shift()) {
    assert.ok(++messageCount < 1000, 'the exchange of messages ends');
    if (message.kind === 'delta_request') peerFreshness.answerDeltaRequest(message.payload);
    else if (message.kind === 'replica_delta') ownFreshness.applyDelta(message.payload);
    onMessage(message);
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
  it('contains every record and deletion of the peer after several messages, and is complete up to the same revision', () => {
    const peer = createReplica();
    const own = createReplica();
    for (const each of [peer, own]) each.apply(put('job/a', 1));
    own.markCompleteTo(1);
    // Two changes of each revision are sent together. The peer knows the last change only from its own transaction's answer.
    for (let modRevision = 2; modRevision < 40; modRevision++)
      for (const key of ['x', 'y']) peer.apply(put(`${key}/${modRevision}`, modRevision));
    peer.apply(deletion('job/a', 40));
    peer.markCompleteTo(40);
    peer.apply(put('job/z', 45));
    assert.ok(updateFromPeer(own, peer) > 5);
    assert.equal(own.revision, 40);
    assert.deepEqual(own.get('live/job/a'), { value: undefined, modRevision: 0 });
    assert.deepEqual(own.get('live/y/39'), { value: { n: 39, text }, modRevision: 39 });
    assert.deepEqual(own.get('live/job/z'), { value: { n: 45, text }, modRevision: 45 });
  });

  it('stays complete only up to its former revision if the peer has discarded tombstones of deletions that it lacks', () => {
    const peer = createReplica();
    const own = createReplica();
    for (const each of [peer, own]) each.apply(put('job/old', 1));
    own.markCompleteTo(1);
    for (let n = 0; n <= TOMBSTONES_KEPT; n++) peer.apply(deletion(n === 0 ? 'job/old' : `job/${n}`, n + 2));
    peer.markCompleteTo(TOMBSTONES_KEPT + 2);
    peer.apply(put('job/new', TOMBSTONES_KEPT + 3));
    // The peer's changes after its complete revision take several messages too.
    for (let n = 4; n < 30; n++) peer.apply(put(`job/n${n}`, TOMBSTONES_KEPT + n));
    assert.ok(updateFromPeer(own, peer) > 2);
    assert.equal(own.revision, 1, 'the missing deletion has to come from the watch');
    assert.notEqual(own.get('live/job/new').value, undefined);
  });

  it('does not restore a deleted record from a delayed delta message', () => {
    const peer = createReplica();
    const own = createReplica();
    peer.apply(put('job/a', 3));
    peer.markCompleteTo(3);
    const delayed: Message[] = [];
    createFreshness('n1', 7, peer, (_, message) => delayed.push(message)).answerDeltaRequest({
      node: 'n0',
      fromRevision: 0,
      afterRevision: 0,
    });
    own.markCompleteTo(9);
    for (const message of delayed) {
      if (message.kind === 'replica_delta') createFreshness('n0', 5, own, () => undefined).applyDelta(message.payload);
    }
    assert.equal(delayed.length, 1);
    assert.equal(own.get('live/job/a').value, undefined);
    assert.equal(own.revision, 9);
  });

  it('is not marked complete if the peer applies another change between two delta messages', () => {
    const peer = createReplica();
    const own = createReplica();
    for (let modRevision = 1; modRevision < 30; modRevision++) peer.apply(put(`job/${modRevision}`, modRevision));
    peer.markCompleteTo(30);
    updateFromPeer(own, peer, (message) => {
      if (message.kind === 'replica_delta' && message.payload.afterRevision > 0)
        peer.applyFromPeer(put('job/late', 31));
    });
    assert.equal(own.revision, 0);
    updateFromPeer(own, peer);
    assert.equal(own.revision, 30);
    assert.notEqual(own.get('live/job/late').value, undefined);
  });
});

describe('gossip of a peer', () => {
  const createOwnFreshness = () => createFreshness('n0', 5, createReplica(), () => undefined);
  const mergeEmptyPeerReplica = (replicaFreshness: ReplicaFreshness) =>
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

  it('proves the replica complete as of the echoed time of this node, however late it arrives', () => {
    const replicaFreshness = createOwnFreshness();
    mergeEmptyPeerReplica(replicaFreshness);
    replicaFreshness.applyGossip(gossip({ echo: { incarnation: 5, clockMs: 400 } }));
    assert.equal(replicaFreshness.completeAsOf(), 400);
    replicaFreshness.applyGossip(gossip({ echo: { incarnation: 5, clockMs: 300 } }));
    assert.equal(replicaFreshness.completeAsOf(), 400);
  });

  it('proves nothing without an echo of this incarnation, without a loaded replica, or from another replica version', () => {
    const replicaFreshness = createOwnFreshness();
    mergeEmptyPeerReplica(replicaFreshness);
    replicaFreshness.applyGossip(gossip({}));
    replicaFreshness.applyGossip(gossip({ echo: { incarnation: 4, clockMs: 400 } }));
    replicaFreshness.applyGossip(gossip({ echo: { incarnation: 5, clockMs: 400 }, isLoaded: false }));
    replicaFreshness.applyGossip(gossip({ echo: { incarnation: 5, clockMs: 400 }, version: 1 }));
    replicaFreshness.applyGossip(gossip({ echo: { incarnation: 5, clockMs: 400 }, incarnation: 8 }));
    assert.equal(replicaFreshness.completeAsOf(), -Infinity);
  });
});

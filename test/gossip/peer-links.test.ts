import assert from 'node:assert/strict';
import { createServer, type Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';

import { LARGEST_LONG } from '../../src/gossip/avro-count.js';
import { FrameDecoder } from '../../src/gossip/frames.js';
import { decodeMessage } from '../../src/gossip/message-codec.js';
import type { Gossip, Message } from '../../src/gossip/messages.js';
import { PeerConnection } from '../../src/gossip/peer-connection.js';
import { PeerServer } from '../../src/gossip/peer-server.js';
import { systemClock } from '../../src/net/clock.js';
import { noLog } from '../../testing/fixtures.js';

const LARGE_COUNT = 2n ** 60n + 1n;
const UNENCODABLE = 'x' as unknown as number;
const WAIT_MS = 5000;

const stop: (() => void)[] = [];
afterEach(() => {
  for (const end of stop.splice(0)) end();
});

const gossipOf = (sequence: number | bigint): Gossip => ({
  ...{ node: 'n0', uptimeMs: 1, replicaAgeMs: 2, isWithoutStore: false, clockMs: 3, echo: null, isLoaded: true },
  ...{ version: 6, reachablePeers: [], incarnation: 7, messageNumber: 8, isSnapshot: true, wantsSnapshot: false },
  ...{ machines: [], unchanged: { numbers: [0], heartbeatAgesMs: [5], sequences: [sequence] } },
  ...{ misroutedHeartbeats: [], avoidedRoles: [], terminatedMachines: [] },
});

function connectTo(address: string, compose: () => Gossip): PeerConnection {
  const ended = new AbortController();
  stop.push(() => ended.abort());
  const connection = new PeerConnection({
    address,
    clock: systemClock,
    log: noLog,
    compose,
    onConnected: () => undefined,
  });
  void connection.run(ended.signal);
  return connection;
}

async function until(condition: () => boolean): Promise<void> {
  const end = performance.now() + WAIT_MS;
  while (!condition()) {
    assert.ok(performance.now() < end, 'the condition does not hold in time');
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

const sequenceOf = (message: Message): unknown =>
  message.kind === 'gossip' ? message.payload.unchanged.sequences[0] : undefined;

/** A server that sends nothing, as that of an earlier version. */
async function listenAsEarlierVersion(received: Message[]): Promise<string> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    const frames = new FrameDecoder(1_000_000);
    sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('data', (chunk) => received.push(...frames.push(chunk).map(decodeMessage)));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  stop.push(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  return `127.0.0.1:${(server.address() as { port: number }).port}`;
}

async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as { port: number };
  await new Promise((resolve) => server.close(resolve));
  return port;
}

describe('the connection to a peer', () => {
  it('carries counts above 2^53 exactly once the peer has told that it reads them', async () => {
    const received: Message[] = [];
    const ended = new AbortController();
    stop.push(() => ended.abort());
    const address = `127.0.0.1:${await freePort()}`;
    new PeerServer({ address, peerCount: 1, log: noLog, receive: (message) => received.push(message) }).listen(
      ended.signal,
    );
    connectTo(address, () => gossipOf(LARGE_COUNT));
    await until(() => received.some((message) => sequenceOf(message) === LARGE_COUNT));
  });

  it('carries the largest readable count to a peer that tells nothing', async () => {
    const received: Message[] = [];
    connectTo(await listenAsEarlierVersion(received), () => gossipOf(LARGE_COUNT));
    await until(() => received.length >= 2);
    assert.deepEqual(new Set(received.map(sequenceOf)), new Set([LARGEST_LONG]));
  });

  it('goes on after a message that has no encoding', async () => {
    const received: Message[] = [];
    let composedCount = 0;
    connectTo(await listenAsEarlierVersion(received), () => gossipOf(composedCount++ === 0 ? UNENCODABLE : 5));
    await until(() => received.length >= 1);
    assert.equal(sequenceOf(received[0]!), 5);
  });

  it('reports that such a message was not sent', async () => {
    const received: Message[] = [];
    const connection = connectTo(await listenAsEarlierVersion(received), () => gossipOf(5));
    await until(() => received.length >= 1);
    const changes = [{ key: 'live/job/j-1', value: null, modRevision: LARGE_COUNT }];
    assert.equal(connection.send({ kind: 'record_delta', payload: { changes } }), false);
    assert.equal(connection.send({ kind: 'gossip', payload: gossipOf(6) }), true);
    await until(() => received.some((message) => sequenceOf(message) === 6));
  });
});

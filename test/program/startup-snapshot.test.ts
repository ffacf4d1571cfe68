import assert from 'node:assert/strict';
import { execFileSync, spawn } from 'node:child_process';
import { closeSync, fstatSync, mkdtempSync, openSync, readFileSync, rmSync, statSync, writeFileSync } from 'node:fs';
import { type AddressInfo, createServer, type Server } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';

import { parse } from 'smol-toml';

import { FrameDecoder } from '../../src/gossip/frames.js';
import { decodeMessage } from '../../src/gossip/message-codec.js';

const SNAPSHOT = 'target/dewlatch.blob';
const MAX_MESSAGE_BYTES = 1 << 20;
/** Nothing listens on this address: the controller reaches neither the store nor the cloud. */
const CLOSED_ADDRESS = '127.0.0.1:9';

const deployment = parse(readFileSync('deploy/service.toml', 'utf8')) as { run: string };
const settings = JSON.parse(readFileSync('.ci/settings.json', 'utf8')) as object;

/** Listens as a peer controller, and passes on the incarnation in each gossip message that it receives. */
async function listenForIncarnations(onIncarnation: (incarnation: number) => void): Promise<Server> {
  const server = createServer((socket) => {
    const frames = new FrameDecoder(MAX_MESSAGE_BYTES);
    socket.on('error', () => socket.destroy());
    socket.on('data', (bytes) => {
      for (const message of frames.push(bytes).map(decodeMessage))
        if (message.kind === 'gossip') onIncarnation(message.payload.incarnation);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return server;
}

describe('two processes that start from the same snapshot', () => {
  let folder = '';
  before(() => {
    execFileSync('npm', ['run', '--silent', 'build']);
    folder = mkdtempSync(join(tmpdir(), 'dewlatch-'));
  });
  after(() => rmSync(folder, { recursive: true }));

  /** Starts the deployed program, waits for its incarnation, and ends it. */
  async function incarnationOfProcess(): Promise<number> {
    let onIncarnation: (incarnation: number) => void = () => undefined;
    const received = new Promise<number>((resolve) => (onIncarnation = resolve));
    const peer = await listenForIncarnations((incarnation) => onIncarnation(incarnation));
    const address = `127.0.0.1:${(peer.address() as AddressInfo).port}`;
    const file = join(folder, 'settings.json');
    const overrides = {
      bind: '127.0.0.1:0',
      mesh_addr: '127.0.0.1:0',
      outside: { cloud: CLOSED_ADDRESS, state: CLOSED_ADDRESS },
    };
    writeFileSync(file, JSON.stringify({ ...settings, ...overrides, peers: [{ node: 'peer', address }] }));
    const [command, ...flags] = deployment.run.split(' ');
    const child = spawn(command!, [...flags, file], { stdio: 'ignore' });
    const ended = new Promise((resolve) => child.once('exit', resolve));
    const failed = ended.then(() => Promise.reject(new Error('the program ended by itself')));
    try {
      return await Promise.race([received, failed]);
    } finally {
      child.kill('SIGKILL');
      failed.catch(() => undefined);
      await ended;
      peer.close();
    }
  }

  // A process that starts while the snapshot is rewritten in place can't load it: on the loopback interface, a controller that
  // was restarted during such a build did not come back.
  it('read a complete snapshot while a build replaces it', () => {
    const openedBefore = openSync(SNAPSHOT, 'r');
    const sizeBefore = fstatSync(openedBefore).size;
    try {
      execFileSync('npm', ['run', '--silent', 'build']);
      assert.notEqual(statSync(SNAPSHOT).ino, fstatSync(openedBefore).ino);
      assert.equal(fstatSync(openedBefore).size, sizeBefore);
    } finally {
      closeSync(openedBefore);
    }
  });

  // Numbers drawn while the snapshot is built would be equal in all processes, and would not tell late answers from current ones.
  it('draw different incarnations', async () => {
    assert.notEqual(await incarnationOfProcess(), await incarnationOfProcess());
  });
});

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
/** Nothing listens there: the controller has neither store nor cloud. */
const NOWHERE = '127.0.0.1:9';

const deployment = parse(readFileSync('deploy/service.toml', 'utf8')) as { run: string };
const settings = JSON.parse(readFileSync('.ci/settings.json', 'utf8')) as object;

/** Listens as a peer controller, and hands over the number of each life that it hears of. */
async function listenForLives(hear: (incarnation: number) => void): Promise<Server> {
  const server = createServer((socket) => {
    const frames = new FrameDecoder(MAX_MESSAGE_BYTES);
    socket.on('error', () => socket.destroy());
    socket.on('data', (bytes) => {
      for (const message of frames.push(bytes).map(decodeMessage))
        if (message.kind === 'gossip') hear(message.payload.incarnation);
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

  /** Starts the deployed program; returns the number of its life, after which it has ended. */
  async function lifeOfProcess(): Promise<number> {
    let hear: (incarnation: number) => void = () => undefined;
    const heard = new Promise<number>((resolve) => (hear = resolve));
    const peer = await listenForLives((incarnation) => hear(incarnation));
    const address = `127.0.0.1:${(peer.address() as AddressInfo).port}`;
    const file = join(folder, 'settings.json');
    const own = { bind: '127.0.0.1:0', mesh_addr: '127.0.0.1:0', outside: { cloud: NOWHERE, state: NOWHERE } };
    writeFileSync(file, JSON.stringify({ ...settings, ...own, peers: [{ node: 'peer', address }] }));
    const [command, ...flags] = deployment.run.split(' ');
    const child = spawn(command!, [...flags, file], { stdio: 'ignore' });
    const ended = new Promise((resolve) => child.once('exit', resolve));
    const failed = ended.then(() => Promise.reject(new Error('the program ended by itself')));
    try {
      return await Promise.race([heard, failed]);
    } finally {
      child.kill('SIGKILL');
      failed.catch(() => undefined);
      await ended;
      peer.close();
    }
  }

  // A process that is started while the snapshot is rewritten in place can not load it: on the loopback, a controller that was
  // started again beside such a build did not come back.
  it('get a whole snapshot while a build replaces it', () => {
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

  // Numbers drawn while the snapshot was built would be the same in every life, and tell no late answer from a present one.
  it('draw different numbers for their lives', async () => {
    assert.notEqual(await lifeOfProcess(), await lifeOfProcess());
  });
});

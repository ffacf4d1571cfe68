import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { type HttpResponse, NoResponseError } from '../../src/net/http-client.js';
import { sendCommands } from '../../src/workers/command-client.js';
import { answering } from '../../testing/answering-http-client.js';

describe('the command client', () => {
  it('reports whether commands were executed, refused, never sent, or may still be executed', async () => {
    const send = (reply: HttpResponse | NoResponseError) =>
      sendCommands(answering(reply), 'x:1', { fencingToken: 1, agentEpoch: 1, commands: [] });
    assert.equal((await send({ status: 200, body: {} })).kind, 'done');
    assert.equal((await send({ status: 409, body: {} })).kind, 'refused');
    assert.equal((await send(new NoResponseError('refused', false))).kind, 'unsent');
    assert.equal((await send(new NoResponseError('timeout', true))).kind, 'unknown');
  });
});

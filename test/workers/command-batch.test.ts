import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { MAX_MESSAGE_BYTES } from '../../src/constants/protocol.js';
import { commandsForOneMessage } from '../../src/workers/command-batch.js';
import { encodeDirectCommands, type WorkerCommand } from '../../src/workers/worker-wire-codec.js';

const kills = (count: number): WorkerCommand[] =>
  Array.from({ length: count }, (_, index) => ({
    ...{ kind: 'kill', taskId: `j-${'x'.repeat(100)}/${index}`, attempt: 2, gracePeriodS: 0 },
  }));

describe('commands for one message', () => {
  it('are all that fit into a request, in their order', () => {
    const due = kills(1600);
    const sent = commandsForOneMessage(due);
    assert.ok(sent.length > 300 && sent.length < due.length, `${sent.length} commands`);
    assert.deepEqual(sent, due.slice(0, sent.length));
    const bytes = (commands: readonly WorkerCommand[]) =>
      Buffer.byteLength(
        JSON.stringify(encodeDirectCommands({ fencingToken: Number.MAX_SAFE_INTEGER, agentEpoch: 1, commands })),
      );
    assert.ok(bytes(sent) <= MAX_MESSAGE_BYTES, `${bytes(sent)} bytes`);
  });

  it('are all commands if these are few', () => {
    assert.equal(commandsForOneMessage(kills(3)).length, 3);
  });
});

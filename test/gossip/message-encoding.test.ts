import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { decodeMessage, encodeMessage } from '../../src/gossip/message-codec.js';
import type { Gossip, Message } from '../../src/gossip/messages.js';

const gossip: Gossip = {
  node: 'n0',
  uptimeMs: 1,
  replicaAgeMs: 2,
  isWithoutStore: false,
  clockMs: 3,
  echo: { incarnation: 4, clockMs: 5 },
  isLoaded: true,
  version: 6,
  reachablePeers: ['n1'],
  incarnation: 7,
  messageNumber: 8,
  isSnapshot: true,
  wantsSnapshot: false,
  machines: [
    {
      machineId: 'i-1',
      number: 0,
      endpoint: 'e:1',
      machineType: 'c8',
      zone: 'a',
      isSpot: true,
      agentEpoch: 1,
      sequence: 2,
      heartbeatAgeMs: 3,
      stateAgeMs: 0,
      spotNoticeMs: null,
      isQuarantined: false,
      isBackingOff: false,
      isUnreached: true,
      isSlow: false,
      isMute: false,
      images: ['img'],
      failedJobs: [],
      partitionLeader: 'n0',
    },
  ],
  unchanged: { numbers: [1], heartbeatAgesMs: [2], sequences: [3] },
  misroutedHeartbeats: [{ machineId: 'i-2', ageMs: 9 }],
  avoidedRoles: ['part-1'],
  terminatedMachines: ['i-3'],
};

/** Controllers of two versions run side by side during a deployment, so renaming a field must not change the encoding. */
const ENCODED: [name: string, message: Message, hex: string][] = [
  [
    'gossip',
    { kind: 'gossip', payload: gossip },
    '02046e30000000000000f03f000000000000004000000000000000084002080000000000001440010c02046e31000e1001000206692d310006653a310463380261010204000000000000084000000000000000000000000100000206696d670000046e30000202000204000206000206692d32000000000000224000020c706172742d31000206692d33000000000000',
  ],
  [
    'forwarded heartbeat',
    { kind: 'forwarded_heartbeat', payload: { node: 'n0', id: 1, status: '{}' } },
    '0002046e3002047b7d00000000',
  ],
  [
    'answer to a forwarded heartbeat',
    { kind: 'forwarded_heartbeat_answer', payload: { node: 'n0', id: 1, status: 200, body: '{}' } },
    '000002046e30029003047b7d000000',
  ],
  [
    'record delta',
    {
      kind: 'record_delta',
      payload: {
        changes: [
          { key: 'live/a', value: '1', modRevision: 2 },
          { key: 'live/b', value: null, modRevision: 3 },
        ],
      },
    },
    '00000002040c6c6976652f61020231040c6c6976652f620006000000',
  ],
  [
    'delta request',
    { kind: 'delta_request', payload: { node: 'n0', fromRevision: 1, afterRevision: 2 } },
    '0000000002046e30020400',
  ],
  [
    'replica delta',
    {
      kind: 'replica_delta',
      payload: {
        node: 'n0',
        incarnation: 1,
        version: 2,
        fromRevision: 3,
        afterRevision: 4,
        lastRevision: 5,
        isComplete: true,
        completeRevision: 6,
        changes: [{ key: 'live/a', value: '1', modRevision: 2 }],
      },
    },
    '000000000002046e30020406080a010c020c6c6976652f610202310400',
  ],
];

describe('message codec with pinned bytes for small messages', () => {
  for (const [name, message, hex] of ENCODED) {
    it(`encodes to and decodes from the pinned bytes: ${name}`, () => {
      assert.equal(encodeMessage(message).toString('hex'), hex);
      assert.deepEqual(JSON.parse(JSON.stringify(decodeMessage(Buffer.from(hex, 'hex')))), message);
    });
  }
});

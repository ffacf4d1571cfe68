/**
 * Pins the encoding of every kind of message between controllers, mostly with distinct values in each field. Controllers of two
 * versions run side by side during a deployment, so renaming a field in the program must not change the encoding.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { decodeMessage, encodeMessage } from '../../src/gossip/message-codec.js';
import type { Gossip, MachineUpdate, Message } from '../../src/gossip/messages.js';

const MACHINE_WITH_ALL_FLAGS: MachineUpdate = {
  machineId: 'i-000001',
  number: 300,
  endpoint: 'i-000001:9000',
  machineType: 'c8',
  zone: 'zone-a',
  isSpot: true,
  agentEpoch: 3,
  sequence: 70_000,
  heartbeatAgeMs: 12.5,
  stateAgeMs: 250,
  spotNoticeMs: 29_000,
  isQuarantined: true,
  isBackingOff: true,
  isUnreached: true,
  isSlow: true,
  isMute: true,
  images: ['img-1', 'img-2'],
  failedJobs: ['j-000001'],
  partitionLeader: 'n2',
};

const MACHINE_WITHOUT_FLAGS: MachineUpdate = {
  ...MACHINE_WITH_ALL_FLAGS,
  number: -1,
  isSpot: false,
  spotNoticeMs: null,
  isQuarantined: false,
  isBackingOff: false,
  isUnreached: false,
  isSlow: false,
  isMute: false,
  images: [],
  failedJobs: [],
};

const FULL_GOSSIP: Gossip = {
  node: 'n0',
  uptimeMs: 60_000,
  replicaAgeMs: 150.5,
  isWithoutStore: true,
  clockMs: 61_000,
  echo: { incarnation: 29077790030248, clockMs: 60_500 },
  isLoaded: true,
  version: 42,
  reachablePeers: ['n1', 'n2'],
  incarnation: 13428899909963,
  messageNumber: 17,
  isSnapshot: true,
  wantsSnapshot: true,
  machines: [MACHINE_WITH_ALL_FLAGS],
  unchanged: { numbers: [1, 2], heartbeatAgesMs: [30, 40], sequences: [500, 600] },
  misroutedHeartbeats: [{ machineId: 'i-000003', ageMs: 75 }],
  avoidedRoles: ['part-1'],
  terminatedMachines: ['i-000004'],
};

const MINIMAL_GOSSIP: Gossip = {
  ...FULL_GOSSIP,
  isWithoutStore: false,
  echo: null,
  isLoaded: false,
  reachablePeers: [],
  isSnapshot: false,
  wantsSnapshot: false,
  machines: [MACHINE_WITHOUT_FLAGS],
  unchanged: { numbers: [], heartbeatAgesMs: [], sequences: [] },
  misroutedHeartbeats: [],
  avoidedRoles: [],
  terminatedMachines: [],
};

const ENCODED: readonly [name: string, message: Message, hex: string][] = [
  [
    'gossip with every field set',
    { kind: 'gossip', payload: FULL_GOSSIP },
    '02046e3000000000004ced400000000000d06240010000000000c9ed4002d0e6c3b5c69c0d00000000808aed40015404046e31046e320096c5f88cd58d062201010210692d303030303031d8041a692d3030303030313a393030300463380c7a6f6e652d610106e0c50800000000000029400000000000406f4002000000000052dc400101010101040a696d672d310a696d672d320002106a2d30303030303100046e320004020400043c500004e807b009000210692d3030303030330000000000c0524000020c706172742d31000210692d303030303034000000000000',
  ],
  [
    'gossip with null, false or an empty list wherever a field allows it',
    { kind: 'gossip', payload: MINIMAL_GOSSIP },
    '02046e3000000000004ced400000000000d06240000000000000c9ed400000540096c5f88cd58d062200000210692d303030303031011a692d3030303030313a393030300463380c7a6f6e652d610006e0c50800000000000029400000000000406f400000000000000000046e32000000000000000000000000',
  ],
  [
    'gossip of a machine with only the flag isQuarantined',
    { kind: 'gossip', payload: { ...MINIMAL_GOSSIP, machines: [{ ...MACHINE_WITHOUT_FLAGS, isQuarantined: true }] } },
    '02046e3000000000004ced400000000000d06240000000000000c9ed400000540096c5f88cd58d062200000210692d303030303031011a692d3030303030313a393030300463380c7a6f6e652d610006e0c50800000000000029400000000000406f400001000000000000046e32000000000000000000000000',
  ],
  [
    'gossip of a machine with only the flag isBackingOff',
    { kind: 'gossip', payload: { ...MINIMAL_GOSSIP, machines: [{ ...MACHINE_WITHOUT_FLAGS, isBackingOff: true }] } },
    '02046e3000000000004ced400000000000d06240000000000000c9ed400000540096c5f88cd58d062200000210692d303030303031011a692d3030303030313a393030300463380c7a6f6e652d610006e0c50800000000000029400000000000406f400000010000000000046e32000000000000000000000000',
  ],
  [
    'gossip of a machine with only the flag isUnreached',
    { kind: 'gossip', payload: { ...MINIMAL_GOSSIP, machines: [{ ...MACHINE_WITHOUT_FLAGS, isUnreached: true }] } },
    '02046e3000000000004ced400000000000d06240000000000000c9ed400000540096c5f88cd58d062200000210692d303030303031011a692d3030303030313a393030300463380c7a6f6e652d610006e0c50800000000000029400000000000406f400000000100000000046e32000000000000000000000000',
  ],
  [
    'gossip of a machine with only the flag isSlow',
    { kind: 'gossip', payload: { ...MINIMAL_GOSSIP, machines: [{ ...MACHINE_WITHOUT_FLAGS, isSlow: true }] } },
    '02046e3000000000004ced400000000000d06240000000000000c9ed400000540096c5f88cd58d062200000210692d303030303031011a692d3030303030313a393030300463380c7a6f6e652d610006e0c50800000000000029400000000000406f400000000001000000046e32000000000000000000000000',
  ],
  [
    'gossip of a machine with only the flag isMute',
    { kind: 'gossip', payload: { ...MINIMAL_GOSSIP, machines: [{ ...MACHINE_WITHOUT_FLAGS, isMute: true }] } },
    '02046e3000000000004ced400000000000d06240000000000000c9ed400000540096c5f88cd58d062200000210692d303030303031011a692d3030303030313a393030300463380c7a6f6e652d610006e0c50800000000000029400000000000406f400000000000010000046e32000000000000000000000000',
  ],
  [
    'gossip of a machine with only the flag isSpot',
    { kind: 'gossip', payload: { ...MINIMAL_GOSSIP, machines: [{ ...MACHINE_WITHOUT_FLAGS, isSpot: true }] } },
    '02046e3000000000004ced400000000000d06240000000000000c9ed400000540096c5f88cd58d062200000210692d303030303031011a692d3030303030313a393030300463380c7a6f6e652d610106e0c50800000000000029400000000000406f400000000000000000046e32000000000000000000000000',
  ],
  [
    'gossip with only the flag isWithoutStore',
    { kind: 'gossip', payload: { ...MINIMAL_GOSSIP, machines: [], isWithoutStore: true } },
    '02046e3000000000004ced400000000000d06240010000000000c9ed400000540096c5f88cd58d06220000000000000000000000000000',
  ],
  [
    'gossip with only the flag isLoaded',
    { kind: 'gossip', payload: { ...MINIMAL_GOSSIP, machines: [], isLoaded: true } },
    '02046e3000000000004ced400000000000d06240000000000000c9ed400001540096c5f88cd58d06220000000000000000000000000000',
  ],
  [
    'gossip with only the flag isSnapshot',
    { kind: 'gossip', payload: { ...MINIMAL_GOSSIP, machines: [], isSnapshot: true } },
    '02046e3000000000004ced400000000000d06240000000000000c9ed400000540096c5f88cd58d06220100000000000000000000000000',
  ],
  [
    'gossip with only the flag wantsSnapshot',
    { kind: 'gossip', payload: { ...MINIMAL_GOSSIP, machines: [], wantsSnapshot: true } },
    '02046e3000000000004ced400000000000d06240000000000000c9ed400000540096c5f88cd58d06220001000000000000000000000000',
  ],
  [
    'forwarded heartbeat',
    { kind: 'forwarded_heartbeat', payload: { node: 'n1', id: 300, status: '{"Host":"i-000001"}' } },
    '0002046e31d804267b22486f7374223a22692d303030303031227d00000000',
  ],
  [
    'answer to a forwarded heartbeat',
    { kind: 'forwarded_heartbeat_answer', payload: { node: 'n2', id: 300, status: 421, body: '{"Steward":"n0"}' } },
    '000002046e32d804ca06207b2253746577617264223a226e30227d000000',
  ],
  [
    'record delta',
    {
      kind: 'record_delta',
      payload: {
        changes: [
          { key: 'live/team/red', value: '{"cpus":4}', modRevision: 99 },
          { key: 'live/job/j-1', value: null, modRevision: 100 },
        ],
      },
    },
    '00000002041a6c6976652f7465616d2f72656402147b2263707573223a347dc601186c6976652f6a6f622f6a2d3100c801000000',
  ],
  [
    'delta request',
    { kind: 'delta_request', payload: { node: 'n1', fromRevision: 1000, afterRevision: 2000 } },
    '0000000002046e31d00fa01f00',
  ],
  [
    'incomplete replica delta',
    {
      kind: 'replica_delta',
      payload: {
        node: 'n2',
        incarnation: 13428899909963,
        version: 42,
        fromRevision: 1000,
        afterRevision: 2000,
        lastRevision: 3000,
        isComplete: false,
        completeRevision: 4000,
        changes: [
          { key: 'live/team/red', value: '{"cpus":4}', modRevision: 3000 },
          { key: 'live/job/j-1', value: null, modRevision: 2999 },
        ],
      },
    },
    '000000000002046e3296c5f88cd58d0654d00fa01ff02e00c03e041a6c6976652f7465616d2f72656402147b2263707573223a347df02e186c6976652f6a6f622f6a2d3100ee2e00',
  ],
  [
    'empty complete replica delta',
    {
      kind: 'replica_delta',
      payload: {
        node: 'n2',
        incarnation: 1,
        version: 42,
        fromRevision: 1000,
        afterRevision: 2000,
        lastRevision: 2000,
        isComplete: true,
        completeRevision: 4000,
        changes: [],
      },
    },
    '000000000002046e320254d00fa01fa01f01c03e00',
  ],
  [
    'follow request of the standby stream',
    {
      kind: 'standby_stream',
      payload: {
        follow: {
          node: 'n1',
          incarnation: 13428899909963,
          clock: 61_000.5,
          followedIncarnation: 29077790030248,
          upTo: 77,
        },
      },
    },
    'ff02046e3196c5f88cd58d060000000010c9ed40d0e6c3b5c69c0d9a0100',
  ],
  [
    'snapshot batch of the standby stream with every kind of entry',
    {
      kind: 'standby_stream',
      payload: {
        batch: {
          node: 'n0',
          incarnation: 29077790030248,
          after: 70,
          upTo: 77,
          isSnapshot: true,
          part: 1,
          parts: 2,
          echo: { incarnation: 13428899909963, clock: 61_000.5 },
          entries: [
            { kind: 'health', name: 'j-1', ageMs: 100, healthy: 5, unhealthy: 2, isRemoved: false },
            { kind: 'moved', name: 'j-1/0', ageMs: 200, healthy: 0, unhealthy: 0, isRemoved: false },
            { kind: 'stopping', name: 'j-1/0#3', ageMs: 300, healthy: 0, unhealthy: 0, isRemoved: true },
            { kind: 'idle', name: 'i-000001', ageMs: 400, healthy: 0, unhealthy: 0, isRemoved: false },
            { kind: 'no_capacity', name: 'c8 a false', ageMs: 500, healthy: 0, unhealthy: 0, isRemoved: true },
          ],
        },
      },
    },
    'ff0002046e30d0e6c3b5c69c0d8c019a0101020496c5f88cd58d060000000010c9ed400a00066a2d31c8010a0400020a6a2d312f309003000000040e6a2d312f302333d8040000010610692d303030303031a0060000000814633820612066616c7365e80700000100',
  ],
  [
    'empty batch of the standby stream',
    {
      kind: 'standby_stream',
      payload: {
        batch: {
          node: 'n0',
          incarnation: 1,
          after: 70,
          upTo: 77,
          isSnapshot: false,
          part: 0,
          parts: 1,
          echo: { incarnation: 2, clock: 3 },
          entries: [],
        },
      },
    },
    'ff0002046e30028c019a0100000204000000000000084000',
  ],
];

describe('message codec with pinned bytes for each kind of message', () => {
  for (const [name, message, hex] of ENCODED) {
    it(`encodes to and decodes from the pinned bytes: ${name}`, () => {
      assert.equal(encodeMessage(message).toString('hex'), hex);
      const decoded = decodeMessage(Buffer.from(hex, 'hex'));
      assert.deepEqual(JSON.parse(JSON.stringify(decoded)), message);
      assert.equal(encodeMessage(decoded).toString('hex'), hex);
    });
  }
});

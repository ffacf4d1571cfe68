import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';

import { decodeCatalog } from '../../src/cloud/cloud-wire-codec.js';
import type { TaskPlacement } from '../../src/domain/task.js';
import { decodeMessage, encodeMessage } from '../../src/gossip/message-codec.js';
import { compactChunk, decodeChunk, withPlacement } from '../../src/records/placement-codec.js';
import {
  decodeFinalJobRecord,
  decodeJobRecord,
  decodeRentalRecord,
  decodeTeamUsage,
} from '../../src/records/record-codecs.js';
import {
  FINAL_JOB_PREFIX,
  FORMAT_COMPLETE_KEY,
  JOB_PREFIX,
  jobKey,
  PLACEMENT_PREFIX,
  placementChunkKey,
} from '../../src/records/record-keys.js';
import { createRecordSizer } from '../../src/records/record-sizer.js';
import { CorruptRecordError, type JobRecord } from '../../src/records/records.js';
import { jsonLength } from '../../src/store/json-size.js';
import { Cluster } from '../../testing/cluster.js';
import { jobOf } from '../../testing/fixtures.js';

interface Samples {
  records: Record<string, { key: string; value: unknown }[]>;
  messages: Record<string, string[]>;
}

/** Data written by the version in production, recorded by `record.mjs` next to the file. */
const FILE = fileURLToPath(new URL('../../../../test/fixtures/production/samples.json', import.meta.url));
const samples = JSON.parse(readFileSync(FILE, 'utf8')) as Samples;

/** Decodes a record according to its key; throws if it can't be decoded. */
function decodeByKey(key: string, value: unknown): unknown {
  const kind = key.split('/')[1]!;
  if (key.startsWith(JOB_PREFIX)) return decodeJobRecord(value);
  if (key.startsWith(FINAL_JOB_PREFIX)) return decodeFinalJobRecord(value);
  if (key.startsWith(PLACEMENT_PREFIX)) return decodeChunk(value, (value as { s: unknown[] }).s.length);
  if (kind === 'team') return decodeTeamUsage(value);
  if (kind === 'hire') return decodeRentalRecord(value);
  if (kind === 'flavor') return assert.ok(decodeCatalog({ Flavors: [value] })?.size === 1);
  return assert.equal(kind, 'claim');
}

describe('data of the version in production', () => {
  it('includes every kind of record, and this version decodes all of them', () => {
    const kinds = Object.keys(samples.records);
    for (const kind of ['job active', 'job withdrawn', 'ledger', 'large ledger', 'team', 'hire', 'claim', 'flavor']) {
      assert.ok(kinds.includes(kind), kind);
    }
    for (const list of Object.values(samples.records)) for (const { key, value } of list) decodeByKey(key, value);
  });

  it('includes every kind of gossip message, and this version encodes each to the same bytes', () => {
    const kinds = Object.keys(samples.messages).sort();
    assert.deepEqual(kinds, ['ask', 'delta', 'gossip', 'news', 'relay', 'relayAnswer']);
    for (const hex of Object.values(samples.messages).flat()) {
      assert.equal(encodeMessage(decodeMessage(Buffer.from(hex, 'hex'))).toString('hex'), hex);
    }
  });
});

describe('a chunk of task placements', () => {
  const zones = ['bucuresti-nord', 'cluj-vest', 'iasi-est'];
  const placed = (n: number): TaskPlacement => ({
    kind: 'placed',
    attempt: 12,
    failures: 3,
    machineId: `i-${String(n).padStart(6, '0')}`,
    agentEpoch: 10,
    gracePeriodS: n % 2 === 0 ? null : 4.5,
    zone: zones[n % 3]!,
  });
  const createChunk = (size: number) => {
    let value: unknown;
    for (let n = 0; n < size; n++) value = withPlacement(value, size, n, placed(n));
    return value;
  };

  it('decodes to the same placements from its compact form, also after some of them have changed', () => {
    const size = 64;
    const value = createChunk(size);
    const compact = compactChunk(value);
    const copy = JSON.parse(JSON.stringify(compact)) as unknown;
    assert.deepEqual(decodeChunk(copy, size), decodeChunk(value, size));
    assert.ok(jsonLength(value) > 2048 && jsonLength(compact) <= 2048, `${jsonLength(value)}, ${jsonLength(compact)}`);
    const otherZone: TaskPlacement = { ...(placed(5) as object), zone: 'elsewhere' } as TaskPlacement;
    const changed = withPlacement(withPlacement(copy, size, 5, otherZone), size, 6, { kind: 'done' });
    assert.equal(jsonLength(changed), JSON.stringify(changed).length);
    assert.deepEqual(decodeChunk(JSON.parse(JSON.stringify(changed)), size)[5], otherZone);
    assert.deepEqual(decodeChunk(JSON.parse(JSON.stringify(changed)), size)[7], placed(7));
  });

  it('is corrupt if a placement refers to a zone that is not in its zone list, or if that is no list', () => {
    assert.throws(() => decodeChunk({ z: ['a'], s: [[1, 0, 'i-1', 1, -1, 3]] }, 1), CorruptRecordError);
    assert.throws(() => decodeChunk({ z: 'a', s: [0] }, 1), CorruptRecordError);
  });

  it('is written in its compact form if it is too large, once all controllers read that form', () => {
    const value = createChunk(64);
    const key = placementChunkKey('j-000001', 0);
    let isComplete = false;
    const resize = createRecordSizer(2048, () => isComplete);
    assert.equal(resize(key, value), value);
    isComplete = true;
    assert.ok(jsonLength(resize(key, value)) <= 2048);
    const small = createChunk(8);
    assert.equal(resize(key, small), small);
  });
});

describe('a job record above the size limit of a value', () => {
  it('is written without its machine types once the job is cancelled, and not before', () => {
    const spec = jobOf({ machineTypes: Array.from({ length: 60 }, (_, n) => `type-${n}-${'x'.repeat(40)}`) });
    const job = { spec, phase: 'active', at: 0, chunk: 64 } as unknown as JobRecord;
    const resize = createRecordSizer(2048, () => false);
    const key = jobKey('j-000001');
    assert.equal(resize(key, job), job);
    const withdrawn = resize(key, { ...job, phase: 'withdrawn' }) as JobRecord;
    assert.ok(jsonLength(withdrawn) <= 2048);
    assert.equal(decodeJobRecord(withdrawn).spec.taskCount, 1);
  });
});

describe('the record of a completed format upgrade', () => {
  const formatKeys = (cluster: Cluster) =>
    [...cluster.store.rows.keys()].filter((key) => key.startsWith('live/format/'));

  it('is written once the announcements of all controllers exist at the same time, and is never deleted', async () => {
    const cluster = new Cluster({ nodes: 3 });
    cluster.crash(2);
    await cluster.advance(20_000);
    assert.deepEqual(formatKeys(cluster), ['live/format/node/n0', 'live/format/node/n1']);
    cluster.crash(1);
    await cluster.advance(8000);
    cluster.start(2);
    await cluster.advance(12_000);
    // Each has announced the format, but not all at the same time: the stopped one may return as another version.
    assert.deepEqual(formatKeys(cluster).sort(), ['live/format/node/n0', 'live/format/node/n2']);
    cluster.start(1);
    await cluster.advance(12_000);
    assert.ok(formatKeys(cluster).includes(FORMAT_COMPLETE_KEY));
    for (const node of [0, 1, 2]) cluster.crash(node);
    await cluster.advance(12_000);
    assert.ok(formatKeys(cluster).includes(FORMAT_COMPLETE_KEY));
    assert.deepEqual(cluster.stopAndCheck(), []);
  });
});

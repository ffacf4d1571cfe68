import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import * as v from 'valibot';

import { DEFAULT_STANDBY_SETTINGS, findContradiction, StandbySettingsSchema } from '../src/index.js';

const BOUNDS = { storeLeaseTtlMs: 3000, linkMessageBytes: 1_000_000 };
const contradictionIn = (fields: object) => findContradiction({ ...DEFAULT_STANDBY_SETTINGS, ...fields }, BOUNDS);

describe('the settings of the warm standby', () => {
  it('are parsed by their names in the tuning file, with defaults for missing fields', () => {
    assert.deepEqual(v.parse(StandbySettingsSchema, {}), DEFAULT_STANDBY_SETTINGS);
    const table = {
      ...{ enabled: true, follow: true, max_lag_ms: 1, stream_bytes_per_s: 1024, message_bytes: 1025 },
      ...{ unacknowledged_bytes: 1026, handover_ms: 2, trace_file: 'spans.jsonl' },
    };
    const settings = {
      ...{ enabled: true, follow: true, maxLagMs: 1, streamBytesPerS: 1024, messageBytes: 1025 },
      ...{ unacknowledgedBytes: 1026, handoverMs: 2, traceFile: 'spans.jsonl' },
    };
    assert.deepEqual(v.parse(StandbySettingsSchema, table), settings);
    assert.throws(() => v.parse(StandbySettingsSchema, settings));
  });

  it('are consistent by default, whether enabled or disabled', () => {
    assert.equal(contradictionIn({}), undefined);
    assert.equal(contradictionIn({ enabled: true, follow: true }), undefined);
  });

  it('are rejected with the name of the contradictory field', () => {
    assert.match(contradictionIn({ follow: true })!, /^follow:/);
    assert.match(contradictionIn({ maxLagMs: 3001 })!, /^max_lag_ms:/);
    assert.match(contradictionIn({ messageBytes: 1_000_001 })!, /^message_bytes:/);
    assert.match(contradictionIn({ unacknowledgedBytes: 2000 })!, /^unacknowledged_bytes:/);
    assert.match(contradictionIn({ streamBytesPerS: 2000 })!, /^stream_bytes_per_s:/);
  });
});

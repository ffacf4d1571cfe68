import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { DEFAULT_STANDBY_SETTINGS, findContradiction } from '../src/index.js';

const BOUNDS = { storeLeaseTtlMs: 3000, linkMessageBytes: 1_000_000 };
const fault = (fields: object) => findContradiction({ ...DEFAULT_STANDBY_SETTINGS, ...fields }, BOUNDS);

describe('the settings of the warm standby', () => {
  it('are consistent by default, on and off', () => {
    assert.equal(fault({}), undefined);
    assert.equal(fault({ enabled: true, follow: true }), undefined);
  });

  it('are rejected by the name of the field that contradicts another', () => {
    assert.match(fault({ follow: true })!, /^follow:/);
    assert.match(fault({ max_lag_ms: 3001 })!, /^max_lag_ms:/);
    assert.match(fault({ message_bytes: 1_000_001 })!, /^message_bytes:/);
    assert.match(fault({ unacknowledged_bytes: 2000 })!, /^unacknowledged_bytes:/);
    assert.match(fault({ stream_bytes_per_s: 2000 })!, /^stream_bytes_per_s:/);
  });
});

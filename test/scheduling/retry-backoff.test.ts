import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { RETRY_BASE_MS, RETRY_MAX_MS } from '../../src/constants/scheduling.js';
import { RetryBackoff } from '../../src/scheduling/retry-backoff.js';

describe('retry backoff', () => {
  it('begins when a failure is first seen and ends after the base delay', () => {
    const backoff = new RetryBackoff();
    assert.equal(backoff.isBackingOff('j/0', 1, 1000), true);
    assert.equal(backoff.isBackingOff('j/0', 1, 1000 + RETRY_BASE_MS - 1), true);
    assert.equal(backoff.isBackingOff('j/0', 1, 1000 + RETRY_BASE_MS), false);
  });

  it('doubles with each failure, up to the maximum', () => {
    const backoff = new RetryBackoff();
    backoff.isBackingOff('j/0', 3, 0);
    assert.equal(backoff.isBackingOff('j/0', 3, 4 * RETRY_BASE_MS - 1), true);
    assert.equal(backoff.isBackingOff('j/0', 3, 4 * RETRY_BASE_MS), false);
    backoff.isBackingOff('j/1', 30, 0);
    assert.equal(backoff.isBackingOff('j/1', 30, RETRY_MAX_MS - 1), true);
    assert.equal(backoff.isBackingOff('j/1', 30, RETRY_MAX_MS), false);
  });

  it('restarts with the next failure', () => {
    const backoff = new RetryBackoff();
    backoff.isBackingOff('j/0', 1, 0);
    assert.equal(backoff.isBackingOff('j/0', 2, RETRY_BASE_MS), true);
    assert.equal(backoff.isBackingOff('j/0', 2, 3 * RETRY_BASE_MS), false);
  });

  it('is kept in memory for the maximum backoff after its end, and then removed', () => {
    const backoff = new RetryBackoff();
    backoff.isBackingOff('j/0', 1, 0);
    backoff.prune(RETRY_BASE_MS + RETRY_MAX_MS);
    assert.equal(backoff.isBackingOff('j/0', 1, RETRY_BASE_MS + RETRY_MAX_MS), false);
    backoff.prune(RETRY_BASE_MS + RETRY_MAX_MS + 1);
    assert.equal(backoff.isBackingOff('j/0', 1, RETRY_BASE_MS + RETRY_MAX_MS + 1), true);
  });
});

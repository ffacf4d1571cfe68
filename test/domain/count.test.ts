import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { compareCounts, isCount, maxCount, toCount } from '../../src/domain/count.js';

const LARGEST = 2n ** 64n - 1n;

describe('a count', () => {
  it('is any integer from 0 to 2^64 - 1, and nothing else', () => {
    for (const value of [0, 1, 2 ** 53 - 1, 2n ** 53n, 2n ** 63n, LARGEST]) assert.equal(toCount(value), value);
    for (const value of [-1, -1n, 2n ** 64n, 2 ** 64, 1.5, NaN, Infinity, '1', null, undefined])
      assert.equal(toCount(value), undefined, String(value));
  });

  it('has one form, so that equal counts are equal', () => {
    assert.equal(toCount(7n), 7);
    assert.equal(toCount(2 ** 60), 2n ** 60n);
    assert.ok(!isCount(7n) && !isCount(2 ** 60));
  });

  it('is told apart from one that differs only beyond 2^53', () => {
    for (const large of [2n ** 53n, 2n ** 60n, 2n ** 63n - 1n, LARGEST - 1n]) {
      assert.notEqual(toCount(large), toCount(large + 1n));
      assert.equal(maxCount(toCount(large)!, toCount(large + 1n)!), large + 1n);
      assert.ok(compareCounts(toCount(large)!, toCount(large + 1n)!) < 0);
      assert.ok(compareCounts(toCount(large)!, 5) > 0);
    }
    assert.equal(compareCounts(LARGEST, LARGEST), 0);
  });
});

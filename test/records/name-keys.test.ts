import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { MAX_KEY_BYTES } from '../../src/constants/store.js';
import { formatKey, machineTypeKey, standbyKey, teamKey } from '../../src/records/record-keys.js';

/** Names whose keys are stored as they are in running clusters. */
const USUAL_NAMES = ['red', 'echipa-platforma-00', 'a/b', '50%', 'a%20b', 'țară', '', 'sha256:x', 'x'.repeat(170)];
/** Names that a key can't contain as they are. */
const UNUSUAL_NAMES = [
  ...['echipa platforma 00', ' ', 'red ', 'a\tb', 'a\nb', 'a\u00a0b', 'a\u0085b', 'a\u2028b'],
  ...['x'.repeat(200), 'x'.repeat(201), 'ț'.repeat(100), '\ud800', '\ud801'],
];
const KEYS_BY_NAME = { teamKey, formatKey, standbyKey, machineTypeKey };

describe('the key of a record that is named after something', () => {
  for (const [kind, keyOf] of Object.entries(KEYS_BY_NAME)) {
    it(`${kind}: is one that the store accepts, whatever the name`, () => {
      for (const name of [...USUAL_NAMES, ...UNUSUAL_NAMES]) {
        const key = keyOf(name);
        assert.ok(Buffer.byteLength(key) <= MAX_KEY_BYTES, `${key.length} bytes`);
        assert.doesNotMatch(key, /[\s\p{White_Space}\p{Surrogate}]/u);
      }
    });

    it(`${kind}: differs for different names, also those that look like other keys`, () => {
      const names = [...USUAL_NAMES, ...UNUSUAL_NAMES, ...UNUSUAL_NAMES.map((name) => keyOf(name).split('/').at(-1)!)];
      const distinctNames = new Set(names);
      assert.equal(new Set([...distinctNames].map(keyOf)).size, distinctNames.size);
    });
  }

  it('keeps the name as it is where the store accepts it, since running clusters have such records', () => {
    for (const name of USUAL_NAMES) {
      assert.equal(teamKey(name), `live/team/${name}`);
      assert.equal(formatKey(name), `live/format/node/${name}`);
      assert.equal(standbyKey(name), `live/standby/${name}`);
      assert.equal(machineTypeKey(name), `live/flavor/${encodeURIComponent(name)}`);
    }
  });

  it('can be as long as the store allows', () => {
    const longest = 'x'.repeat(MAX_KEY_BYTES - 'live/team/'.length);
    assert.equal(teamKey(longest), `live/team/${longest}`);
    assert.notEqual(teamKey(`${longest}x`), `live/team/${longest}x`);
  });
});

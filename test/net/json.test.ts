import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { parseJson, stringifyJson } from '../../src/net/json.js';

describe('JSON with large counts', () => {
  it('keeps every digit of a count', () => {
    for (const digits of ['9007199254740993', '1796000000000000001', '9223372036854775809', '18446744073709551615']) {
      const text = `{"Tick":${digits},"Shards":[{"Shard":"j-1/0","Try":${digits}}]}`;
      const parsed = parseJson(text) as { Tick: unknown };
      assert.equal(parsed.Tick, BigInt(digits));
      assert.equal(stringifyJson(parsed), text);
    }
  });

  it('keeps those of stored records, which have them in arrays too', () => {
    const text = '{"s":[0,[1,0,"i-1",9007199254740993,-1,"a"]],"latch":9007199254740995}';
    assert.equal(stringifyJson(parseJson(text)), text);
  });

  it('parses amounts as JavaScript does, however many digits they have', () => {
    for (const digits of ['12345678901234567890', '0.12345678901234567', '1e300', '-12345678901234567890']) {
      const text = `{"MemGb":${digits},"Tick":9007199254740993}`;
      assert.equal((parseJson(text) as { MemGb: unknown }).MemGb, Number(digits));
    }
  });

  it('parses everything else as JavaScript does', () => {
    const texts = [
      '{"a":"x:1234567890123456"}',
      '{"id":"[1234567890123456789]"}',
      '[1,2]',
      '{"a":1,"a":1234567890123456}',
    ];
    for (const text of texts) assert.deepEqual(parseJson(text), JSON.parse(text));
    for (const text of ['', '{', '{"Tick":9007199254740993', '{"Tick":09007199254740993}'])
      assert.throws(() => parseJson(text), SyntaxError);
  });
});

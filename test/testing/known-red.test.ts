import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { judge, parseKnownRed } from '../../testing/known-red.js';

const entry = (test: string): string =>
  `test: ${test}\ncommand: npm test\nseed: none\nseen: a timer fired 1749 ms late\nissue: 39\n`;
const run = (failed: string[]) => ({ executed: new Set(['a > b', 'a > c', 'a > d']), failed });

describe('the list of tests that are known to fail', () => {
  it('passes over a listed failure and prints it', () => {
    const verdict = judge(run(['a > b']), parseKnownRed(`# comment\n\n${entry('a > b')}`));
    assert.deepEqual(verdict, { isPassed: true, lines: ['known red: a > b (seed none, issue 39): failed'] });
  });

  it('does not pass over another failure', () => {
    const verdict = judge(run(['a > b', 'a > c']), parseKnownRed(entry('a > b')));
    assert.equal(verdict.isPassed, false);
    assert.ok(verdict.lines.includes('failed: a > c'));
  });

  it('does not pass over any failure when it is empty', () => {
    assert.equal(judge(run(['a > b']), parseKnownRed('')).isPassed, false);
    assert.equal(judge(run([]), parseKnownRed('')).isPassed, true);
  });

  it('fails a run without the test that an entry names', () => {
    const verdict = judge(run([]), parseKnownRed(entry('a > e')));
    assert.deepEqual([verdict.isPassed, verdict.lines.at(-1)], [false, 'no such test: a > e']);
  });

  for (const field of ['command', 'seed', 'seen', 'issue']) {
    it(`fails a run if an entry lacks its ${field}`, () => {
      const text = entry('a > b').replace(new RegExp(`^${field}:.*$`, 'm'), `${field}:`);
      const verdict = judge(run(['a > b']), parseKnownRed(text));
      assert.deepEqual([verdict.isPassed, verdict.lines.at(-1)], [false, `the entry of 'a > b' lacks '${field}'`]);
    });
  }

  it('fails a run with more than three entries', () => {
    const titles = ['a > b', 'a > c', 'a > d', 'a > b'];
    const verdict = judge(run([]), parseKnownRed(titles.map(entry).join('\n')));
    assert.equal(verdict.isPassed, false);
  });
});

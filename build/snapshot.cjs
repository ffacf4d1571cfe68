/**
 * Run by `node --build-snapshot`: evaluates the bundled program, all of whose functions are compiled beforehand, so that a
 * process that starts from the snapshot compiles none of them in its first seconds.
 */
'use strict';
const { readFileSync } = require('node:fs');
const { setFlagsFromString } = require('node:v8');
const { runInThisContext } = require('node:vm');

const BUNDLE = 'target/dewlatch.cjs';

const HASHBANG = /^#!.*/;
const source = readFileSync(BUNDLE, 'utf8').replace(HASHBANG, '');
setFlagsFromString('--no-lazy');
const evaluate = runInThisContext(`(function (require, module, exports) {${source}\n})`, { filename: BUNDLE });
// A snapshot is refused by a process whose flags are not those at the time when it was taken.
setFlagsFromString('--lazy');

const program = { exports: {} };
evaluate(require, program, program.exports);

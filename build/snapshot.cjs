/**
 * Run by `node --build-snapshot`: evaluates the bundled program with all its functions compiled eagerly, so that a process
 * that starts from the snapshot compiles none of them in its first seconds.
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
// A process refuses a snapshot that was taken under other V8 flags than its own.
setFlagsFromString('--lazy');

const program = { exports: {} };
evaluate(require, program, program.exports);

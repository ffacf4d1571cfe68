/**
 * Measures whether queries are answered after a fault at size: `npm run scale -- WORKERS [SOCKETS [FAULT]]`. FAULT is `all`
 * (all controllers are lost for longer than the workers' lease) or `all-but-one`. Fails if the questions about some job
 * get no answer for 75 s.
 */
import { loadavg } from 'node:os';

import { ArgumentError, argumentsOrExit, positiveInteger } from './positive-integer.js';
import { playScale, type ScaleFault } from './scale-run.js';

/** By the protocol a job counts as forgotten if no question about it is answered for so long after the last fault. */
const MAX_UNANSWERED_MS = 75_000;
const OBSERVED_MS = 120_000;
const DEFAULT_SOCKETS = '10000';

function faultOf(text: string): ScaleFault {
  if (text !== 'all' && text !== 'all-but-one')
    throw new ArgumentError(`FAULT is neither all nor all-but-one: ${text}`);
  return text;
}

const options = argumentsOrExit(() => {
  const [machines = '', sockets = DEFAULT_SOCKETS, fault = 'all', ...unknown] = process.argv.slice(2);
  if (unknown.length > 0) throw new ArgumentError(`unknown argument: ${unknown.join(' ')}`);
  return {
    machines: positiveInteger('WORKERS', machines),
    sockets: positiveInteger('SOCKETS', sockets),
    fault: faultOf(fault),
  };
});

const { statusLines, ...result } = await playScale({ ...options, observedMs: OBSERVED_MS });
for (const line of statusLines) console.log(line);
console.log(JSON.stringify({ ...options, ...result, loadAverage: loadavg()[0] }));
const isAnswered = result.longestUnansweredMs < MAX_UNANSWERED_MS && result.unexpectedExits.length === 0;
console.log(isAnswered ? 'all questions were answered in time' : 'questions stayed unanswered, or a controller ended');
process.exit(isAnswered ? 0 : 1);

/**
 * Measures whether queries are answered after a fault at size: `npm run scale -- WORKERS [SOCKETS [FAULT [PROFILE]]]`. FAULT is `all`
 * (all controllers are lost for longer than the workers' lease) or `all-but-one`, PROFILE `ample` or `limited`. Fails if the questions about some job
 * get no answer for 75 s.
 */
import { loadavg } from 'node:os';

import { ArgumentError, argumentsOrExit, positiveInteger } from './positive-integer.js';
import { MAX_UNANSWERED_MS, playScale, type ScaleFault, type ScaleProfile } from './scale-run.js';

const OBSERVED_MS = 120_000;
const DEFAULT_SOCKETS = '10000';

function faultOf(text: string): ScaleFault {
  if (text !== 'all' && text !== 'all-but-one')
    throw new ArgumentError(`FAULT is neither all nor all-but-one: ${text}`);
  return text;
}

function profileOf(text: string): ScaleProfile {
  if (text !== 'ample' && text !== 'limited') throw new ArgumentError(`PROFILE is neither ample nor limited: ${text}`);
  return text;
}

const options = argumentsOrExit(() => {
  const [machines = '', sockets = DEFAULT_SOCKETS, fault = 'all', profile = 'ample', ...unknown] =
    process.argv.slice(2);
  if (unknown.length > 0) throw new ArgumentError(`unknown argument: ${unknown.join(' ')}`);
  return {
    machines: positiveInteger('WORKERS', machines),
    sockets: positiveInteger('SOCKETS', sockets),
    fault: faultOf(fault),
    profile: profileOf(profile),
  };
});

const { statusLines, traceLines, ...result } = await playScale({ ...options, observedMs: OBSERVED_MS });
for (const line of [...statusLines, ...traceLines]) console.log(line);
console.log(JSON.stringify({ ...options, ...result, loadAverage: loadavg()[0] }));
const isAnswered = result.longestUnansweredMs < MAX_UNANSWERED_MS && result.unexpectedExits.length === 0;
console.log(isAnswered ? 'all questions were answered in time' : 'questions stayed unanswered, or a controller ended');
process.exit(isAnswered ? 0 : 1);

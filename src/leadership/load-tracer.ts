/** Loads the tracing of takeovers where it is configured; it is no part of the program's bundle or startup snapshot. */
import { createRequire } from 'node:module';
import { resolve } from 'node:path';

import { NO_TRACER, type TakeoverTracer, type TracingModule } from '@dewlatch/standby';

import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';

/** Written by the build beside the program; the program is started from the folder above. */
const TRACING_BUNDLE = 'target/tracing.cjs';

/** Falls back to no tracing if the module can't be loaded: the service matters more. */
export function loadTracer(file: string, node: string, clock: Clock, log: Log): TakeoverTracer {
  if (file === '') return NO_TRACER;
  try {
    const path = resolve(TRACING_BUNDLE);
    const { createTakeoverTracer } = createRequire(path)(path) as TracingModule;
    return createTakeoverTracer(file, node, (steadyMs) => clock.wall() - (clock.now() - steadyMs));
  } catch (error) {
    log.error({ error: String(error) }, 'takeover tracing unavailable');
    return NO_TRACER;
  }
}

/** Loads takeover tracing if configured; the module is not part of the program's bundle or startup snapshot. */
import { createRequire } from 'node:module';
import { resolve } from 'node:path';

import { NO_TRACER, type TakeoverTracer, type TracingModule } from '@dewlatch/standby';

import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';

/** The build writes the module next to the program. The path is relative to the working directory, which contains `target`. */
const TRACING_BUNDLE = 'target/tracing.cjs';

/** Falls back to no tracing if the module can't be loaded, since tracing must not prevent the controller from starting. */
export function loadTracer(file: string, node: string, clock: Clock, log: Log): TakeoverTracer {
  if (file === '') return NO_TRACER;
  try {
    const path = resolve(TRACING_BUNDLE);
    const { createTakeoverTracer } = createRequire(path)(path) as TracingModule;
    return createTakeoverTracer(file, node, (monotonicMs) => clock.wall() - (clock.now() - monotonicMs));
  } catch (error) {
    log.error({ error: String(error) }, 'takeover tracing unavailable');
    return NO_TRACER;
  }
}

/** Holds a process to a share of a core by stopping and continuing it. */
import type { Clock } from '../src/net/clock.js';

const PERIOD_MS = 40;

/** Sends a signal to the process; does nothing if it does not run. */
export type SendSignal = (signal: 'SIGSTOP' | 'SIGCONT') => void;

/** Lets the process run for `share` of each period until the signal aborts. */
export async function limitToShare(share: number, send: SendSignal, clock: Clock, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    send('SIGCONT');
    await clock.sleep(PERIOD_MS * share, signal);
    if (signal.aborted) return;
    send('SIGSTOP');
    await clock.sleep(PERIOD_MS * (1 - share), signal);
  }
}

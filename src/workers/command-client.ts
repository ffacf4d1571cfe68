import { COMMAND_TIMEOUT_MS, CONNECT_TIMEOUT_MS } from '../constants/workers.js';
import { NoResponseError, type HttpClient } from '../net/http-client.js';
import {
  decodeWorkerStatus,
  type DirectCommands,
  encodeDirectCommands,
  type WorkerStatus,
} from './worker-wire-codec.js';

export type CommandResult =
  | { kind: 'done'; workerStatus: WorkerStatus | undefined }
  /** Nothing executed: a higher fence or another session. */
  | { kind: 'refused'; workerStatus: WorkerStatus | undefined }
  /** Never reached the worker. */
  | { kind: 'unsent' }
  /** May have been executed, or may be at any time while fence and session still match. */
  | { kind: 'unknown' };

/** Commands sent to a worker directly, for speed; they never renew a lease. */
export async function sendCommands(
  http: HttpClient,
  endpoint: string,
  commands: DirectCommands,
): Promise<CommandResult> {
  try {
    const reply = await http.call(endpoint, 'POST', '/commands', encodeDirectCommands(commands), {
      timeoutMs: COMMAND_TIMEOUT_MS,
      connectMs: CONNECT_TIMEOUT_MS,
    });
    if (reply.status === 200) return { kind: 'done', workerStatus: decodeWorkerStatus(reply.body) };
    if (reply.status === 409) return { kind: 'refused', workerStatus: decodeWorkerStatus(reply.body) };
    return reply.status === 400 ? { kind: 'unsent' } : { kind: 'unknown' };
  } catch (error) {
    return error instanceof NoResponseError && !error.wasSent ? { kind: 'unsent' } : { kind: 'unknown' };
  }
}

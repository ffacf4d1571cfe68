import { COMMAND_TIMEOUT_MS, CONNECT_TIMEOUT_MS } from '../constants/workers.js';
import { type HttpClient, type HttpResponse, NoResponseError } from '../net/http-client.js';
import {
  decodeWorkerStatus,
  type DirectCommands,
  encodeDirectCommands,
  type WorkerStatus,
} from './worker-wire-codec.js';

/** The outcome of a command request; `workerStatus` is undefined if the response held none that can be decoded. */
export type CommandResult =
  | { kind: 'done'; workerStatus: WorkerStatus | undefined }
  /** Nothing was executed: the worker has seen a higher fencing token, or is in another agent epoch. */
  | { kind: 'refused'; workerStatus: WorkerStatus | undefined }
  /** The commands never reached the worker, or it could not decode them. */
  | { kind: 'unsent' }
  /** The commands may have been executed, or may still be while fencing token and agent epoch match. */
  | { kind: 'unknown' };

/**
 * Sends commands to a worker directly, for lower latency; they never renew a lease. Failures are returned, not thrown.
 */
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
    return classifyResponse(reply);
  } catch (error) {
    return error instanceof NoResponseError && !error.wasSent ? { kind: 'unsent' } : { kind: 'unknown' };
  }
}

/** The status in the worker's response; undefined if there is none or it is another machine's. */
export function workerStatusFrom(result: CommandResult, machineId: string): WorkerStatus | undefined {
  switch (result.kind) {
    case 'done':
    case 'refused':
      return result.workerStatus?.machineId === machineId ? result.workerStatus : undefined;
    case 'unsent':
    case 'unknown':
      return undefined;
  }
}

function classifyResponse({ status, body }: HttpResponse): CommandResult {
  switch (status) {
    case 200:
      return { kind: 'done', workerStatus: decodeWorkerStatus(body) };
    case 409:
      return { kind: 'refused', workerStatus: decodeWorkerStatus(body) };
    case 400:
      return { kind: 'unsent' };
    default:
      return { kind: 'unknown' };
  }
}

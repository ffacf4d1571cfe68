import { COMMAND_TIMEOUT_MS, CONNECT_TIMEOUT_MS } from '../constants/workers.js';
import { type HttpClient, NoResponseError, type Reply } from '../net/http-client.js';
import {
  decodeWorkerStatus,
  type DirectCommands,
  encodeDirectCommands,
  type WorkerStatus,
} from './worker-wire-codec.js';

/** What became of commands; `workerStatus` is undefined where the answer held none that can be read. */
export type CommandResult =
  | { kind: 'done'; workerStatus: WorkerStatus | undefined }
  /** Nothing was executed: the worker has seen a higher fencing token, or is in another agent epoch. */
  | { kind: 'refused'; workerStatus: WorkerStatus | undefined }
  /** They never reached the worker, or it could not read them. */
  | { kind: 'unsent' }
  /** They may have been executed, or may be at any time while fencing token and agent epoch still match. */
  | { kind: 'unknown' };

/** Sends commands to a worker directly, for speed; they never renew a lease. Failures are results, nothing is thrown. */
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
    return resultOf(reply);
  } catch (error) {
    return error instanceof NoResponseError && !error.wasSent ? { kind: 'unsent' } : { kind: 'unknown' };
  }
}

/** The status that the worker answered with; undefined: there is none, or it is another machine's. */
export function statusIn(result: CommandResult, machineId: string): WorkerStatus | undefined {
  switch (result.kind) {
    case 'done':
    case 'refused':
      return result.workerStatus?.machineId === machineId ? result.workerStatus : undefined;
    case 'unsent':
    case 'unknown':
      return undefined;
  }
}

function resultOf({ status, body }: Reply): CommandResult {
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

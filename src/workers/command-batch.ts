/** Splits commands into messages of the size that the protocol allows. */
import { MAX_COMMANDS_BYTES } from '../constants/workers.js';
import { stringifyJson } from '../net/json.js';
import { encodeCommand, type WorkerCommand } from './worker-wire-codec.js';

/** Bytes of the comma between two commands. */
const SEPARATOR_BYTES = 1;

/** The first commands, as many as fit into one message; the others must be sent in later ones. */
export function commandsForOneMessage<Command extends WorkerCommand>(commands: readonly Command[]): readonly Command[] {
  let bytes = 0;
  for (const [index, command] of commands.entries()) {
    bytes += Buffer.byteLength(stringifyJson(encodeCommand(command))) + SEPARATOR_BYTES;
    if (bytes > MAX_COMMANDS_BYTES) return commands.slice(0, index);
  }
  return commands;
}

/** Command-line arguments of the measurement programs. */

/** An argument that can't be used; the message names it. */
export class ArgumentError extends Error {
  readonly code = 'bad_argument';
}

/** Decodes a count; throws an `ArgumentError` that names the argument. */
export function positiveInteger(name: string, text: string): number {
  if (!/^[1-9]\d{0,8}$/.test(text)) throw new ArgumentError(`${name} is not a positive integer: ${text}`);
  return Number(text);
}

/** Decodes the arguments, or ends the process with one line and exit code 2. */
export function argumentsOrExit<T>(decode: () => T): T {
  try {
    return decode();
  } catch (error) {
    if (!(error instanceof ArgumentError)) throw error;
    process.stderr.write(`${error.message}\n`);
    process.exit(2);
  }
}

/** A message can't be encoded for its receiver; nothing is sent. The cause names the value. */
export class MessageEncodeError extends Error {
  readonly code = 'MESSAGE_NOT_ENCODABLE';

  constructor(message: string, options: ErrorOptions) {
    super(`encoding a ${message} message: ${String(options.cause)}`, options);
    this.name = 'MessageEncodeError';
  }
}

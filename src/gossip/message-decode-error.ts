/** The error type of the message codecs. */

/** The bytes are not a valid message between controllers. */
export class MessageDecodeError extends Error {
  readonly code = 'MESSAGE_DECODE_FAILED';

  constructor(messageKind: string, reason: string) {
    super(`decoding a ${messageKind}: ${reason}`);
    this.name = 'MessageDecodeError';
  }
}

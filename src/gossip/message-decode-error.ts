/** The failure of a codec in this folder. */

/** Bytes that are no message between controllers. */
export class MessageDecodeError extends Error {
  readonly code = 'MESSAGE_DECODE_FAILED';

  /** `what` names the kind of message that was being decoded, `why` what was wrong with it. */
  constructor(what: string, why: string) {
    super(`decoding a ${what}: ${why}`);
    this.name = 'MessageDecodeError';
  }
}

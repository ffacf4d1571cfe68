/** Frames messages on a byte stream: each is preceded by its length as an unsigned 32-bit big-endian integer. */

const LENGTH_BYTES = 4;

/** A frame announces more bytes than the receiver allows; the connection can't be used any further. */
export class FrameTooLargeError extends Error {
  readonly code = 'FRAME_TOO_LARGE';

  constructor(
    readonly frameBytes: number,
    readonly maxBytes: number,
  ) {
    super(`decoding a frame of ${frameBytes} bytes: at most ${maxBytes} are allowed`);
    this.name = 'FrameTooLargeError';
  }
}

/** Splits a byte stream into messages. */
export class FrameDecoder {
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;

  /** `maxBytes` limits the length of one message, excluding its length prefix. */
  constructor(private readonly maxBytes: number) {}

  /** Returns the messages that the chunk completes; throws FrameTooLargeError if one is longer than allowed. */
  push(chunk: Buffer): Buffer[] {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    const messages: Buffer[] = [];
    while (this.bufferedBytes >= LENGTH_BYTES) {
      const buffered = this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks);
      this.chunks = [buffered];
      const messageBytes = buffered.readUInt32BE(0);
      if (messageBytes > this.maxBytes) throw new FrameTooLargeError(messageBytes, this.maxBytes);
      const frameBytes = LENGTH_BYTES + messageBytes;
      if (buffered.length < frameBytes) break;
      messages.push(buffered.subarray(LENGTH_BYTES, frameBytes));
      this.chunks = [buffered.subarray(frameBytes)];
      this.bufferedBytes -= frameBytes;
    }
    return messages;
  }
}

/** Prefixes a message with its length. */
export function encodeFrame(message: Buffer): Buffer {
  const prefix = Buffer.alloc(LENGTH_BYTES);
  prefix.writeUInt32BE(message.length, 0);
  return Buffer.concat([prefix, message]);
}

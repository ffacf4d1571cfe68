/** Cuts a byte stream into messages with a length of four bytes before each. */
export class FrameDecoder {
  private parts: Buffer[] = [];
  private size = 0;

  constructor(private readonly maxBytes: number) {}

  /** Throws when a message is longer than allowed. */
  push(part: Buffer): Buffer[] {
    this.parts.push(part);
    this.size += part.length;
    const messages: Buffer[] = [];
    while (this.size >= 4) {
      const all = this.parts.length === 1 ? this.parts[0]! : Buffer.concat(this.parts);
      this.parts = [all];
      const length = all.readUInt32BE(0);
      if (length > this.maxBytes) throw new Error(`message of ${length} bytes`);
      if (all.length < 4 + length) break;
      messages.push(all.subarray(4, 4 + length));
      this.parts = [all.subarray(4 + length)];
      this.size -= 4 + length;
    }
    return messages;
  }
}

export function encodeFrame(message: Buffer): Buffer {
  const head = Buffer.alloc(4);
  head.writeUInt32BE(message.length, 0);
  return Buffer.concat([head, message]);
}

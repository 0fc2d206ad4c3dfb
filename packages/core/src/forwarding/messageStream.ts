import type { Socket } from 'node:net';

/** Length of the fields and length of the body, each as 32 bits. */
const HEAD_BYTES = 8;
/** Longest message; a longer one means that the other end speaks something else. */
const MAX_MESSAGE_BYTES = 72 * 1024 * 1024;

const noBody = Buffer.alloc(0);

/** Takes a message off a stream: its fields, and its body as it was sent. */
export type MessageListener = (fields: unknown, body: Buffer) => void;

/** Puts messages on a socket and takes them off: fields as JSON and a body, behind their lengths. */
export class MessageStream {
  private chunks: Buffer[] = [];

  private buffered = 0;

  constructor(
    private readonly socket: Socket,
    listener: MessageListener,
  ) {
    socket.on('data', (chunk: Buffer) => {
      this.chunks.push(chunk);
      this.buffered += chunk.length;
      try {
        this.takeAll(listener);
      } catch (error) {
        socket.destroy(error as Error);
      }
    });
  }

  /** Bytes that were given to the socket and have not left. */
  get unsentBytes(): number {
    return this.socket.writableLength;
  }

  write(fields: unknown, body: Buffer = noBody): void {
    const text = JSON.stringify(fields);
    const textBytes = Buffer.byteLength(text);
    const framed = Buffer.allocUnsafe(HEAD_BYTES + textBytes + body.length);
    framed.writeUInt32BE(textBytes, 0);
    framed.writeUInt32BE(body.length, HEAD_BYTES / 2);
    framed.write(text, HEAD_BYTES);
    body.copy(framed, HEAD_BYTES + textBytes);
    this.socket.write(framed);
  }

  private takeAll(listener: MessageListener): void {
    while (this.buffered >= HEAD_BYTES) {
      const head = this.join(HEAD_BYTES);
      const textBytes = head.readUInt32BE(0);
      const length = HEAD_BYTES + textBytes + head.readUInt32BE(HEAD_BYTES / 2);
      if (length > MAX_MESSAGE_BYTES) throw new Error(`a message of ${length} bytes is too long`);
      if (this.buffered < length) return;
      const whole = this.join(length);
      this.drop(length);
      const bodyAt = HEAD_BYTES + textBytes;
      const fields: unknown = JSON.parse(whole.toString('utf8', HEAD_BYTES, bodyAt));
      listener(fields, whole.subarray(bodyAt, length));
    }
  }

  /** The first chunk, made at least `size` bytes long. */
  private join(size: number): Buffer {
    const [first] = this.chunks;
    if (first && first.length >= size) return first;
    const joined = Buffer.concat(this.chunks);
    this.chunks = [joined];
    return joined;
  }

  private drop(size: number): void {
    const first = this.chunks.shift() as Buffer;
    if (first.length > size) this.chunks.unshift(first.subarray(size));
    this.buffered -= size;
  }
}

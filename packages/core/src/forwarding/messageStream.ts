import type { Socket } from 'node:net';
import { Packr } from 'msgpackr';

const LENGTH_BYTES = 4;
/** Longest message; a longer one means that the other end speaks something else. */
const MAX_MESSAGE_BYTES = 72 * 1024 * 1024;

const packr = new Packr({ useRecords: false });

/** Puts messages on a socket and takes them off: MessagePack, each behind its length. */
export class MessageStream {
  private chunks: Buffer[] = [];

  private buffered = 0;

  constructor(
    private readonly socket: Socket,
    onMessage: (message: unknown) => void,
  ) {
    socket.on('data', (chunk: Buffer) => {
      this.chunks.push(chunk);
      this.buffered += chunk.length;
      try {
        this.takeAll(onMessage);
      } catch (error) {
        socket.destroy(error as Error);
      }
    });
  }

  /** Bytes that were given to the socket and have not left. */
  get unsentBytes(): number {
    return this.socket.writableLength;
  }

  write(message: unknown): void {
    const packed = packr.pack(message);
    const framed = Buffer.allocUnsafe(LENGTH_BYTES + packed.length);
    framed.writeUInt32BE(packed.length, 0);
    packed.copy(framed, LENGTH_BYTES);
    this.socket.write(framed);
  }

  private takeAll(onMessage: (message: unknown) => void): void {
    while (this.buffered >= LENGTH_BYTES) {
      const length = this.join(LENGTH_BYTES).readUInt32BE(0);
      if (length > MAX_MESSAGE_BYTES) throw new Error(`a message of ${length} bytes is too long`);
      if (this.buffered < LENGTH_BYTES + length) return;
      const whole = this.join(LENGTH_BYTES + length);
      this.drop(LENGTH_BYTES + length);
      onMessage(packr.unpack(whole.subarray(LENGTH_BYTES, LENGTH_BYTES + length)));
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

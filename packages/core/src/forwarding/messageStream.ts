import type { Socket } from 'node:net';

/** Header of a frame: length of the fields and length of the body, 32 bits each. */
const FRAME_HEADER_BYTES = 8;
/** Longest message, in bytes; a longer one means that the peer uses a different protocol. */
const MAX_MESSAGE_BYTES = 72 * 1024 * 1024;

const EMPTY_BODY = Buffer.alloc(0);

/** Receives a message: its decoded JSON fields and its raw body. */
export type MessageListener = (fields: unknown, body: Buffer) => void;

/** Reads and writes length-prefixed messages on a socket; a message is JSON fields and a body. */
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
        this.readMessages(listener);
      } catch (error) {
        socket.destroy(error as Error);
      }
    });
  }

  /** Bytes that were written to the socket and are not sent yet. */
  get unsentBytes(): number {
    return this.socket.writableLength;
  }

  write(fields: unknown, body: Buffer = EMPTY_BODY): void {
    const json = JSON.stringify(fields);
    const jsonBytes = Buffer.byteLength(json);
    const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + jsonBytes + body.length);
    frame.writeUInt32BE(jsonBytes, 0);
    frame.writeUInt32BE(body.length, FRAME_HEADER_BYTES / 2);
    frame.write(json, FRAME_HEADER_BYTES);
    body.copy(frame, FRAME_HEADER_BYTES + jsonBytes);
    this.socket.write(frame);
  }

  private readMessages(listener: MessageListener): void {
    while (this.buffered >= FRAME_HEADER_BYTES) {
      const header = this.mergeChunks(FRAME_HEADER_BYTES);
      const jsonBytes = header.readUInt32BE(0);
      const length = FRAME_HEADER_BYTES + jsonBytes + header.readUInt32BE(FRAME_HEADER_BYTES / 2);
      if (length > MAX_MESSAGE_BYTES) throw new Error(`a message of ${length} bytes is too long`);
      if (this.buffered < length) return;
      const frame = this.mergeChunks(length);
      this.discard(length);
      const bodyOffset = FRAME_HEADER_BYTES + jsonBytes;
      const fields: unknown = JSON.parse(frame.toString('utf8', FRAME_HEADER_BYTES, bodyOffset));
      listener(fields, frame.subarray(bodyOffset, length));
    }
  }

  /** Returns the first chunk, merged with all others if it is shorter than `size` bytes. */
  private mergeChunks(size: number): Buffer {
    const [first] = this.chunks;
    if (first && first.length >= size) return first;
    const merged = Buffer.concat(this.chunks);
    this.chunks = [merged];
    return merged;
  }

  private discard(size: number): void {
    const first = this.chunks.shift() as Buffer;
    if (first.length > size) this.chunks.unshift(first.subarray(size));
    this.buffered -= size;
  }
}

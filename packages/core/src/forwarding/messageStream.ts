import type { Socket } from 'node:net';
import { ByteCollector } from '../runtime/byteCollector.js';

/** Header of a frame: length of the fields and length of the body, 32 bits each. */
const FRAME_HEADER_BYTES = 8;
/** Longest fields, in bytes: headers of a request or response and a few ids. */
const MAX_FIELDS_BYTES = 1024 * 1024;
/** Longest body, in bytes; a longer one means that the peer uses a different protocol. */
const MAX_BODY_BYTES = 71 * 1024 * 1024;
/** Longest body that is copied next to its fields, to send or keep both as one buffer. */
const MAX_COPIED_BYTES = 16 * 1024;

const EMPTY_BODY = Buffer.alloc(0);

/** Receives a message: its decoded JSON fields and its raw body. */
export type MessageListener = (fields: unknown, body: Buffer) => void;

/** Lengths that the header of a frame announces, in bytes. */
interface FrameLengths {
  fields: number;
  body: number;
}

function readLengths(header: Buffer): FrameLengths {
  const fields = header.readUInt32BE(0);
  const body = header.readUInt32BE(FRAME_HEADER_BYTES / 2);
  if (fields > MAX_FIELDS_BYTES || body > MAX_BODY_BYTES) {
    throw new Error(`a message of ${fields} and ${body} bytes is too long`);
  }
  return { fields, body };
}

/** Reads and writes length-prefixed messages on a socket; a message is JSON fields and a body. */
export class MessageStream {
  private collector = new ByteCollector();

  /** Lengths of the frame that is being received; undefined before its header is complete. */
  private lengths: FrameLengths | undefined;

  constructor(
    private readonly socket: Socket,
    private readonly listener: MessageListener,
  ) {
    socket.on('data', (received: Buffer) => {
      try {
        this.receive(received);
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
    const copiedBytes = body.length <= MAX_COPIED_BYTES ? body.length : 0;
    const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + jsonBytes + copiedBytes);
    frame.writeUInt32BE(jsonBytes, 0);
    frame.writeUInt32BE(body.length, FRAME_HEADER_BYTES / 2);
    frame.write(json, FRAME_HEADER_BYTES);
    if (copiedBytes > 0) body.copy(frame, FRAME_HEADER_BYTES + jsonBytes);
    this.socket.write(frame);
    if (copiedBytes < body.length) this.socket.write(body);
  }

  private receive(received: Buffer): void {
    let rest = received;
    while (rest.length > 0) {
      const { lengths } = this;
      const wantedBytes = lengths ? lengths.fields + lengths.body : FRAME_HEADER_BYTES;
      const part = rest.subarray(0, wantedBytes - this.collector.length);
      rest = rest.subarray(part.length);
      this.collector.append(part);
      if (this.collector.length < wantedBytes) return;
      const complete = this.collector.take();
      if (lengths) this.deliver(lengths, complete);
      else this.expect(readLengths(complete));
    }
  }

  private expect(lengths: FrameLengths): void {
    if (lengths.fields === 0) throw new Error('a message has no fields');
    this.lengths = lengths;
    this.collector = new ByteCollector(lengths.fields + lengths.body);
  }

  private deliver(lengths: FrameLengths, payload: Buffer): void {
    this.lengths = undefined;
    this.collector = new ByteCollector();
    const fields: unknown = JSON.parse(payload.toString('utf8', 0, lengths.fields));
    const body = payload.subarray(lengths.fields);
    // A small body is copied: otherwise it would keep all that was received with it.
    this.listener(fields, body.length <= MAX_COPIED_BYTES ? Buffer.from(body) : body);
  }
}

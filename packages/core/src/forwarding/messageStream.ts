import type { Socket } from 'node:net';
import type { ByteBudget } from '../http/byteBudget.js';
import { createHeldBytes } from '../http/heldBytes.js';
import type { ByteShare } from '../http/byteShare.js';
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

/**
 * Receives a message: its decoded JSON fields and its raw body, which is undefined if the budget did
 * not allow to hold it. The listener closes the body's share of the budget when it drops the body.
 */
export type MessageListener = (fields: unknown, body: Buffer | undefined, share: ByteShare) => void;

/** A frame whose header has been received. */
interface Frame {
  fieldsBytes: number;
  bodyBytes: number;
  share: ByteShare;
  /** False if the body is skipped. */
  isHeld: boolean;
  /** Set once the fields are complete. */
  fields: unknown;
  hasFields: boolean;
}

/** Reads and writes length-prefixed messages on a socket; a message is JSON fields and a body. */
export class MessageStream {
  private collector = new ByteCollector();

  /** The frame that is being received; undefined before its header is complete. */
  private frame: Frame | undefined;

  private skippedBytes = 0;

  constructor(
    private readonly socket: Socket,
    private readonly listener: MessageListener,
    /** Bounds the bodies that are held. */
    private readonly budget: ByteBudget = createHeldBytes().requests,
  ) {
    socket.on('data', (received: Buffer) => {
      try {
        this.receive(received);
      } catch (error) {
        socket.destroy(error as Error);
      }
    });
    socket.on('close', () => this.frame?.share.close());
  }

  /** Bytes that were written to the socket and are not sent yet. */
  get unsentBytes(): number {
    return this.socket.writableLength;
  }

  /** Writes a message; `onSent` is called when the socket no longer holds it. */
  write(fields: unknown, body: Buffer = EMPTY_BODY, onSent?: () => void): void {
    const json = JSON.stringify(fields);
    const jsonBytes = Buffer.byteLength(json);
    const isCopied = body.length <= MAX_COPIED_BYTES;
    const copiedBytes = isCopied ? body.length : 0;
    const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + jsonBytes + copiedBytes);
    frame.writeUInt32BE(jsonBytes, 0);
    frame.writeUInt32BE(body.length, FRAME_HEADER_BYTES / 2);
    frame.write(json, FRAME_HEADER_BYTES);
    if (copiedBytes > 0) body.copy(frame, FRAME_HEADER_BYTES + jsonBytes);
    this.socket.write(frame, isCopied ? onSent : undefined);
    if (!isCopied) this.socket.write(body, onSent);
  }

  private receive(received: Buffer): void {
    let rest = received;
    while (rest.length > 0) {
      const { frame } = this;
      if (!frame) rest = this.receiveHeader(rest);
      else if (!frame.hasFields) rest = this.receiveFields(frame, rest);
      else rest = this.receiveBody(frame, rest);
    }
  }

  /** Collects up to `wantedBytes`; returns them once they are complete, and what is left. */
  private collect(wantedBytes: number, received: Buffer): { complete?: Buffer; rest: Buffer } {
    const part = received.subarray(0, wantedBytes - this.collector.length);
    const rest = received.subarray(part.length);
    this.collector.append(part);
    if (this.collector.length < wantedBytes) return { rest };
    const complete = this.collector.take();
    this.collector = new ByteCollector();
    return { complete, rest };
  }

  private receiveHeader(received: Buffer): Buffer {
    const { complete, rest } = this.collect(FRAME_HEADER_BYTES, received);
    if (!complete) return rest;
    const fieldsBytes = complete.readUInt32BE(0);
    const bodyBytes = complete.readUInt32BE(FRAME_HEADER_BYTES / 2);
    if (fieldsBytes === 0 || fieldsBytes > MAX_FIELDS_BYTES || bodyBytes > MAX_BODY_BYTES) {
      throw new Error(`a message has ${fieldsBytes} and ${bodyBytes} bytes`);
    }
    const share = this.budget.openShare();
    const isHeld = share.add(bodyBytes);
    this.frame = { fieldsBytes, bodyBytes, share, isHeld, fields: undefined, hasFields: false };
    return rest;
  }

  private receiveFields(frame: Frame, received: Buffer): Buffer {
    const { complete, rest } = this.collect(frame.fieldsBytes, received);
    if (!complete) return rest;
    this.frame = { ...frame, fields: JSON.parse(complete.toString('utf8')), hasFields: true };
    this.collector = new ByteCollector(frame.bodyBytes);
    this.skippedBytes = 0;
    if (frame.bodyBytes === 0) this.deliver(this.frame, EMPTY_BODY);
    return rest;
  }

  private receiveBody(frame: Frame, received: Buffer): Buffer {
    if (!frame.isHeld) {
      const part = received.subarray(0, frame.bodyBytes - this.skippedBytes);
      this.skippedBytes += part.length;
      if (this.skippedBytes === frame.bodyBytes) this.deliver(frame, undefined);
      return received.subarray(part.length);
    }
    const { complete, rest } = this.collect(frame.bodyBytes, received);
    // A small body is copied: otherwise it would keep all that was received with it.
    const isCopied = frame.bodyBytes <= MAX_COPIED_BYTES;
    if (complete) this.deliver(frame, isCopied ? Buffer.from(complete) : complete);
    return rest;
  }

  private deliver({ fields, share }: Frame, body: Buffer | undefined): void {
    this.frame = undefined;
    this.listener(fields, body, share);
  }
}

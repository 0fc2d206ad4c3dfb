import { ByteShare } from './byteShare.js';

/** Bounds the bytes of all responses that are being received at the same time. */
export class ByteBudget {
  private usedBytes = 0;

  constructor(private readonly limitBytes: number) {}

  /** Creates the share of one response. */
  openShare(): ByteShare {
    return new ByteShare((bytes) => this.take(bytes));
  }

  /** Takes bytes, or returns them if `bytes` is negative; false if the budget does not allow it. */
  private take(bytes: number): boolean {
    if (bytes > 0 && this.usedBytes + bytes > this.limitBytes) return false;
    this.usedBytes += bytes;
    return true;
  }
}

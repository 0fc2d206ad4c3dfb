/** Bytes that each body may hold without taking them from the budget. */
const FREE_BYTES_PER_BODY = 16 * 1024;

/** Operations of a budget on behalf of one share. */
export interface ByteSource {
  /** Takes bytes for a share that holds `heldBytes`; false if the budget does not allow it. */
  tryTake(bytes: number, heldBytes: number): boolean;
  /** Takes bytes in any case, or returns them if `bytes` is negative. */
  take(bytes: number): void;
}

/** Part of a byte budget that one body holds. */
export class ByteShare {
  private countedBytes = 0;

  private takenBytes = 0;

  constructor(private readonly source: ByteSource) {}

  /** Counts bytes; false if the body must not hold them. */
  add(bytes: number): boolean {
    const wantedBytes = this.wantedBytesFor(bytes);
    if (wantedBytes > 0 && !this.source.tryTake(wantedBytes, this.takenBytes)) return false;
    this.countedBytes += bytes;
    this.takenBytes += wantedBytes;
    return true;
  }

  /** Counts bytes that are held already. */
  addHeld(bytes: number): void {
    const wantedBytes = this.wantedBytesFor(bytes);
    if (wantedBytes > 0) this.source.take(wantedBytes);
    this.countedBytes += bytes;
    this.takenBytes += wantedBytes;
  }

  /** Returns all bytes to the budget; idempotent. */
  close(): void {
    if (this.takenBytes > 0) this.source.take(-this.takenBytes);
    this.takenBytes = 0;
  }

  private wantedBytesFor(bytes: number): number {
    return Math.max(0, this.countedBytes + bytes - FREE_BYTES_PER_BODY) - this.takenBytes;
  }
}

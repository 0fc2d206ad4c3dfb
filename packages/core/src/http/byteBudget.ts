import { ByteShare } from './byteShare.js';

/** Bounds the bytes of all bodies that are held at the same time. */
export class ByteBudget {
  private usedBytes = 0;

  constructor(private readonly limitBytes: number) {}

  /** Creates the share of one body. */
  openShare(): ByteShare {
    return new ByteShare({
      tryTake: (bytes, heldBytes) => this.tryTake(bytes, heldBytes),
      take: (bytes) => {
        this.usedBytes += bytes;
      },
    });
  }

  /**
   * Takes bytes for a share that holds `heldBytes` already; false if the budget does not allow it.
   * A single body may exceed the limit, or it could never be held.
   */
  private tryTake(bytes: number, heldBytes: number): boolean {
    const isAlone = this.usedBytes <= heldBytes;
    if (!isAlone && this.usedBytes + bytes > this.limitBytes) return false;
    this.usedBytes += bytes;
    return true;
  }
}

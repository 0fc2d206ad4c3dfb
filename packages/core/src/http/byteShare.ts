/** Bytes that each response may hold without taking them from the budget. */
const FREE_BYTES_PER_RESPONSE = 64 * 1024;

/** Part of a byte budget that one response holds. */
export class ByteShare {
  private receivedBytes = 0;

  private takenBytes = 0;

  constructor(private readonly take: (bytes: number) => boolean) {}

  /** Counts received bytes; false if the response must not hold them. */
  add(bytes: number): boolean {
    this.receivedBytes += bytes;
    const wanted = Math.max(0, this.receivedBytes - FREE_BYTES_PER_RESPONSE) - this.takenBytes;
    if (wanted <= 0) return true;
    if (!this.take(wanted)) return false;
    this.takenBytes += wanted;
    return true;
  }

  /** Returns all bytes to the budget; idempotent. */
  close(): void {
    this.take(-this.takenBytes);
    this.takenBytes = 0;
  }
}

const EMPTY_BYTES = Buffer.alloc(0);
const FIRST_BLOCK_BYTES = 4096;
const MAX_BLOCK_BYTES = 1024 * 1024;

/**
 * Collects the pieces of a message in blocks. The memory that it holds depends on the number of
 * bytes only: a list of pieces costs far more than its bytes when each piece is tiny, or is a part
 * of a larger buffer.
 */
export class ByteCollector {
  private size = 0;

  /** The only piece so far; most messages have one, which is not copied. */
  private firstPiece: Buffer | undefined;

  /** Blocks that are full. */
  private fullBlocks: Buffer[] = [];

  private block: Buffer = EMPTY_BYTES;

  /** Number of bytes used in `block`. */
  private usedBytes = 0;

  /** `expectedBytes` is the length of the message if it is known: it then gets a block of its own. */
  constructor(private readonly expectedBytes = 0) {}

  /** Number of bytes collected. */
  get length(): number {
    return this.size;
  }

  /** Adds a piece at the end. */
  append(piece: Buffer): void {
    if (this.size === 0) {
      this.firstPiece = piece;
      this.size = piece.length;
      return;
    }
    if (this.firstPiece) {
      this.copy(this.firstPiece);
      this.firstPiece = undefined;
    }
    this.copy(piece);
    this.size += piece.length;
  }

  /** Returns the bytes collected so far and starts over. */
  take(): Buffer {
    const last = this.block.subarray(0, this.usedBytes);
    let taken = this.firstPiece ?? last;
    if (this.fullBlocks.length > 0) taken = Buffer.concat([...this.fullBlocks, last]);
    this.clear();
    return taken;
  }

  /** Drops the bytes collected so far. */
  clear(): void {
    this.size = 0;
    this.firstPiece = undefined;
    this.fullBlocks = [];
    this.block = EMPTY_BYTES;
    this.usedBytes = 0;
  }

  private copy(piece: Buffer): void {
    let copiedBytes = 0;
    while (copiedBytes < piece.length) {
      if (this.usedBytes === this.block.length) this.addBlock();
      const bytes = piece.copy(this.block, this.usedBytes, copiedBytes);
      copiedBytes += bytes;
      this.usedBytes += bytes;
    }
  }

  private addBlock(): void {
    const isFirst = this.block.length === 0;
    if (!isFirst) this.fullBlocks.push(this.block);
    const nextBytes = Math.min(MAX_BLOCK_BYTES, 2 * this.block.length);
    const firstBytes = Math.max(this.expectedBytes, FIRST_BLOCK_BYTES);
    this.block = Buffer.allocUnsafeSlow(isFirst ? firstBytes : nextBytes);
    this.usedBytes = 0;
  }
}

import type { StoreEntry, SwapOutcome } from '@shallotcroft/core';

/** A key-value database. With `isComparing` false, swaps ignore the expected revision. */
export class ExplorerDatabase {
  readonly rows = new Map<string, StoreEntry>();

  revision = 0;

  constructor(private readonly isComparing: boolean) {}

  swap(key: string, expected: number, value: string): SwapOutcome {
    const current = this.rows.get(key);
    if (this.isComparing && (current?.modRevision ?? 0) !== expected) {
      return { swapped: false, current };
    }
    this.revision += 1;
    const next = { key, value, modRevision: this.revision };
    this.rows.set(key, next);
    return { swapped: true, current: next };
  }
}

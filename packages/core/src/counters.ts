/** Counts of what happened, by name and label. */
export class Counters {
  private readonly counts = new Map<string, number>();

  /** Adds one to a counter; `label` tells kinds of the same event apart. */
  increment(name: string, label: string): void {
    const key = `${name}{kind="${label}"}`;
    this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
  }

  /** Name with label, and count. */
  entries(): [string, number][] {
    return [...this.counts];
  }
}

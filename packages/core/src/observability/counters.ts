/** Counts of what happened, by name and label. */
export class Counters {
  /** Counts by name and then by label. */
  private readonly counts = new Map<string, Map<string, number>>();

  /** Adds one to a counter; `label` tells kinds of the same event apart. */
  increment(name: string, label: string): void {
    let labels = this.counts.get(name);
    if (!labels) {
      labels = new Map();
      this.counts.set(name, labels);
    }
    labels.set(label, (labels.get(label) ?? 0) + 1);
  }

  /** Name with label, and count. */
  entries(): [string, number][] {
    return [...this.counts].flatMap(([name, labels]) =>
      [...labels].map(([label, count]): [string, number] => [`${name}{kind="${label}"}`, count]),
    );
  }
}

/** Event counters by name and label. */
export class Counters {
  /** Counts by name and then by label. */
  private readonly counts = new Map<string, Map<string, number>>();

  /** Increments a counter; `label` is the value of its metric label `kind`. */
  increment(name: string, label: string): void {
    let labels = this.counts.get(name);
    if (!labels) {
      labels = new Map();
      this.counts.set(name, labels);
    }
    labels.set(label, (labels.get(label) ?? 0) + 1);
  }

  /** Returns each metric name with its label, and its count. */
  entries(): [string, number][] {
    return [...this.counts].flatMap(([name, labels]) =>
      [...labels].map(([label, count]): [string, number] => [`${name}{kind="${label}"}`, count]),
    );
  }
}

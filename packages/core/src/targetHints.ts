/** What a target says of itself. It may be late or false. */
export interface TargetReport {
  healthy: boolean;
  /** Load as the target sees it; 1 is full. */
  load: number;
}

const BUSY_LOAD = 0.8;

/**
 * What a target's health and load endpoints are good for: a target that says it is unwell or busy
 * starts at the least limit. Measured latency decides from the first round on, and the order in
 * which calls are shed never depends on a report.
 */
export class TargetHints {
  private latest: TargetReport | undefined;

  /** Remembers a report. */
  report(report: TargetReport): void {
    this.latest = report;
  }

  /** The limit to start with. */
  startLimit(usual: number, minimum: number): number {
    if (!this.latest) return usual;
    const doubtful = !this.latest.healthy || this.latest.load >= BUSY_LOAD;
    return doubtful ? minimum : usual;
  }
}

/** Arrivals in one turn of the event loop from which the process counts as behind its input. */
const BACKLOG_ARRIVALS = 4;

/**
 * Starts work when the input that has already arrived is read. On a busy host the end of a request,
 * its cancellation or the close of its connection, may be waiting behind it; the work must not begin
 * then.
 */
export class ArrivalBatch {
  private starts: (() => void)[] = [];

  /** Calls `start` at the end of this turn, or after one more if many have arrived in this one. */
  add(start: () => void): void {
    this.starts.push(start);
    if (this.starts.length === 1) setImmediate(() => this.endTurn());
  }

  private endTurn(): void {
    const { starts } = this;
    this.starts = [];
    const startAll = (): void => starts.forEach((start) => start());
    if (starts.length < BACKLOG_ARRIVALS) startAll();
    else setImmediate(startAll);
  }
}

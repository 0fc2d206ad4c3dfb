const MS_PER_S = 1000;
const TIME_WIDTH = 8;
const EVENT_WIDTH = 9;

/** Lines of what was sent, answered and run, with the seconds since the start. */
export class EventRecord {
  private readonly lines: string[] = [];

  private readonly startedAt = Date.now();

  add(event: string, fields: Record<string, unknown>): void {
    const at = ((Date.now() - this.startedAt) / MS_PER_S).toFixed(3);
    const texts = Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`);
    this.lines.push(`${at.padStart(TIME_WIDTH)} ${event.padEnd(EVENT_WIDTH)} ${texts.join(' ')}`);
  }

  text(): string {
    return `${this.lines.join('\n')}\n`;
  }
}

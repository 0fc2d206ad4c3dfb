/** Returns the value of a number flag, `--name 5`, or `fallback`; throws unless it is positive. */
export function numberFlag(name: string, fallback: number): number {
  const index = process.argv.indexOf(`--${name}`);
  if (index < 0) return fallback;
  const value = Number(process.argv[index + 1]);
  if (!Number.isFinite(value) || value <= 0) throw new Error(`--${name} takes a positive number`);
  return value;
}

/** Returns the values of a list flag, `--name 5,6`, or `fallback`; throws unless all are positive. */
export function numbersFlag(name: string, fallback: number[]): number[] {
  const index = process.argv.indexOf(`--${name}`);
  if (index < 0) return fallback;
  const values = (process.argv[index + 1] ?? '').split(',').map(Number);
  const isValid =
    values.length > 0 && values.every((value) => Number.isInteger(value) && value > 0);
  if (!isValid) throw new Error(`--${name} takes positive whole numbers with commas between`);
  return values;
}

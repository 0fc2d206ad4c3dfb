/** Value of a number flag, `--name 5`, or `fallback` when it is not given. */
export function numberFlag(name: string, fallback: number): number {
  const index = process.argv.indexOf(`--${name}`);
  if (index < 0) return fallback;
  const value = Number(process.argv[index + 1]);
  if (!Number.isFinite(value) || value <= 0) throw new Error(`--${name} takes a positive number`);
  return value;
}

const leftOut = new Set([
  'options',
  'context',
  'clock',
  'timing',
  'limits',
  'held',
  'lastTick',
  'moves',
  'refresh',
  'tasks',
]);

function plain(value: unknown, above: unknown[]): unknown {
  if (typeof value === 'function') return undefined;
  if (typeof value !== 'object' || value === null) return value;
  if (value instanceof Promise) return 'promise';
  if (Buffer.isBuffer(value)) return value.toString('base64');
  if (above.includes(value)) return 'above';
  const path = [...above, value];
  if (value instanceof Map) return [...value].map((entry) => plain(entry, path));
  if (value instanceof Set) return [...value].map((entry) => plain(entry, path));
  if (Array.isArray(value)) return value.map((entry) => plain(entry, path));
  const fields = Object.entries(value).filter(([name]) => !leftOut.has(name));
  return Object.fromEntries(fields.map(([name, field]) => [name, plain(field, path)]));
}

/** The data of an object and of what it holds, without its surroundings, as text. */
export function fingerprintOf(value: object): string {
  return JSON.stringify(plain(value, []));
}

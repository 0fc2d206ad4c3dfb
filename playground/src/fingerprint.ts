const leftOut = new Set([
  // Surroundings, the same in every state; a record is known by its revision.
  'options',
  'self',
  'directory',
  'records',
  'record',
  'clock',
  'timing',
  'limits',
  'heldCalls',
  'lastTick',
  'refresh',
  'tasks',
]);

function plain(value: unknown, seen: Set<unknown>): unknown {
  if (typeof value === 'function') return undefined;
  if (typeof value !== 'object' || value === null) return value;
  if (value instanceof Promise) return 'promise';
  if (Buffer.isBuffer(value)) return value.toString('base64');
  if (seen.has(value)) return 'seen';
  seen.add(value);
  if (value instanceof Map || value instanceof Set) {
    return [...value].map((entry) => plain(entry, seen));
  }
  if (Array.isArray(value)) return value.map((entry) => plain(entry, seen));
  const fields = Object.entries(value).filter(([name]) => !leftOut.has(name));
  return Object.fromEntries(fields.map(([name, field]) => [name, plain(field, seen)]));
}

/** The data of an object and of what it holds, without its surroundings, as text. */
export function fingerprintOf(value: object): string {
  return JSON.stringify(plain(value, new Set()));
}

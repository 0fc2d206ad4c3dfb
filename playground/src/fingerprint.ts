const excludedFields = new Set([
  // Dependencies, which are the same in every state. A record is identified by its revision.
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

function plainDataOf(value: unknown, seen: Set<unknown>): unknown {
  if (typeof value === 'function') return undefined;
  if (typeof value !== 'object' || value === null) return value;
  if (value instanceof Promise) return 'promise';
  if (Buffer.isBuffer(value)) return value.toString('base64');
  if (seen.has(value)) return 'seen';
  seen.add(value);
  if (value instanceof Map || value instanceof Set) {
    return [...value].map((entry) => plainDataOf(entry, seen));
  }
  if (Array.isArray(value)) return value.map((entry) => plainDataOf(entry, seen));
  const fields = Object.entries(value).filter(([name]) => !excludedFields.has(name));
  return Object.fromEntries(fields.map(([name, field]) => [name, plainDataOf(field, seen)]));
}

/** Serializes the data of an object and of the objects it references, without `excludedFields`. */
export function fingerprintOf(value: object): string {
  return JSON.stringify(plainDataOf(value, new Set()));
}

/**
 * Maps `items` with at most `concurrency` calls of `map` at a time. Results have the order of the
 * items; the first rejection of `map` rejects the whole.
 */
export async function mapConcurrently<T, R>(
  items: T[],
  concurrency: number,
  map: (item: T) => Promise<R>,
): Promise<R[]> {
  const results: R[] = [];
  const entries = items.entries();
  const worker = async () => {
    for (const [index, item] of entries) results[index] = await map(item);
  };
  await Promise.all(Array.from({ length: Math.min(concurrency, items.length) }, worker));
  return results;
}

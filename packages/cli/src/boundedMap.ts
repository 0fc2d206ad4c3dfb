/** Maps `items` in their order with at most `limit` of them under way at once. */
export async function boundedMap<T, R>(
  items: T[],
  limit: number,
  map: (item: T) => Promise<R>,
): Promise<R[]> {
  const results: R[] = [];
  const waiting = items.entries();
  const work = async () => {
    for (const [index, item] of waiting) results[index] = await map(item);
  };
  await Promise.all(Array.from({ length: Math.min(limit, items.length) }, work));
  return results;
}

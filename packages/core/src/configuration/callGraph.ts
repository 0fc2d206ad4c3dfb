/** The child calls of each call, by name. */
export type CallGraph = Record<string, { children: string[] }>;

/** Names of the calls that make `name`, in the order of the graph. */
export function parentsOf(graph: CallGraph, name: string): string[] {
  return Object.keys(graph).filter((parent) => graph[parent]?.children.includes(name));
}

/** The parents of each call, by name; calls without parents are left out. */
export function parentIndexOf(graph: CallGraph): Map<string, string[]> {
  const index = new Map<string, string[]>();
  Object.entries(graph).forEach(([parent, { children }]) => {
    children.forEach((child) => index.set(child, [...(index.get(child) ?? []), parent]));
  });
  return index;
}

/** A path from a call back to itself, or undefined if the graph has no cycle. */
export function findCycle(graph: CallGraph): string[] | undefined {
  const finished = new Set<string>();
  const visit = (name: string, path: string[]): string[] | undefined => {
    if (path.includes(name)) return [...path.slice(path.indexOf(name)), name];
    if (finished.has(name)) return undefined;
    for (const child of graph[name]?.children ?? []) {
      const cycle = visit(child, [...path, name]);
      if (cycle) return cycle;
    }
    finished.add(name);
    return undefined;
  };
  for (const name of Object.keys(graph)) {
    const cycle = visit(name, []);
    if (cycle) return cycle;
  }
  return undefined;
}

/** Names in topological order, parents before children; the graph must not have a cycle. */
export function topologicalOrder(graph: CallGraph): string[] {
  const ordered: string[] = [];
  const seen = new Set<string>();
  const visit = (name: string) => {
    if (seen.has(name)) return;
    seen.add(name);
    (graph[name]?.children ?? []).forEach(visit);
    ordered.unshift(name);
  };
  Object.keys(graph).reverse().forEach(visit);
  return ordered;
}

/** Computes a value of a call from the values of its children, memoized by call. */
function foldDownstream(
  graph: CallGraph,
  name: string,
  combine: (children: number[]) => number,
): number {
  const computed = new Map<string, number>();
  const valueOf = (call: string): number => {
    const found = computed.get(call);
    if (found !== undefined) return found;
    const value = combine((graph[call]?.children ?? []).map(valueOf));
    computed.set(call, value);
    return value;
  };
  return valueOf(name);
}

/** Number of calls in the tree from `name` down, each counted as often as it is reached. */
export function treeSizeOf(graph: CallGraph, name: string): number {
  return foldDownstream(graph, name, (sizes) => sizes.reduce((sum, size) => sum + size, 1));
}

/** Number of calls on the longest downstream path from `name`, itself included. */
export function depthOf(graph: CallGraph, name: string): number {
  return foldDownstream(graph, name, (depths) => 1 + Math.max(0, ...depths));
}

/** Names of all root calls that reach `name`; `name` itself if it has no parents. */
export function rootsOf(graph: CallGraph, name: string): string[] {
  const index = parentIndexOf(graph);
  const seen = new Set([name]);
  // Parents are added during the iteration, which also visits them.
  for (const call of seen) (index.get(call) ?? []).forEach((parent) => seen.add(parent));
  return [...seen].filter((call) => !index.has(call));
}

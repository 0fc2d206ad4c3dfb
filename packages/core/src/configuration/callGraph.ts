/** The calls that each call makes, by name. */
export type CallGraph = Record<string, { children: string[] }>;

/** Names of the calls that make `name`, in the order of the graph. */
export function parentsOf(graph: CallGraph, name: string): string[] {
  return Object.keys(graph).filter((parent) => graph[parent]?.children.includes(name));
}

/** The calls that make each call, by name; a call that none makes is missing. */
export function parentIndexOf(graph: CallGraph): Map<string, string[]> {
  const index = new Map<string, string[]>();
  Object.entries(graph).forEach(([parent, { children }]) => {
    children.forEach((child) => index.set(child, [...(index.get(child) ?? []), parent]));
  });
  return index;
}

/** A way that leads from a call back to itself, or undefined when there is none. */
export function findCycle(graph: CallGraph): string[] | undefined {
  const finished = new Set<string>();
  const visit = (name: string, way: string[]): string[] | undefined => {
    if (way.includes(name)) return [...way.slice(way.indexOf(name)), name];
    if (finished.has(name)) return undefined;
    for (const child of graph[name]?.children ?? []) {
      const cycle = visit(child, [...way, name]);
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

/** Names with every parent before its children; the graph has no cycle. */
export function parentsFirst(graph: CallGraph): string[] {
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

/** Works something out for a call from what it is for each of its children, once for each call. */
function foldTree(graph: CallGraph, name: string, combine: (children: number[]) => number): number {
  const known = new Map<string, number>();
  const valueOf = (call: string): number => {
    const found = known.get(call);
    if (found !== undefined) return found;
    const value = combine((graph[call]?.children ?? []).map(valueOf));
    known.set(call, value);
    return value;
  };
  return valueOf(name);
}

/** Calls in the tree below and including `name`, each counted as often as it is reached. */
export function treeSizeOf(graph: CallGraph, name: string): number {
  return foldTree(graph, name, (sizes) => sizes.reduce((sum, size) => sum + size, 1));
}

/** Calls on the longest way down from `name`, itself included. */
export function depthOf(graph: CallGraph, name: string): number {
  return foldTree(graph, name, (depths) => 1 + Math.max(0, ...depths));
}

/** Names of the calls at the top of every way that leads to `name`; itself when nothing makes it. */
export function rootsOf(graph: CallGraph, name: string): string[] {
  const index = parentIndexOf(graph);
  const seen = new Set([name]);
  // The set grows while it is walked, until no call above is new.
  for (const call of seen) (index.get(call) ?? []).forEach((parent) => seen.add(parent));
  return [...seen].filter((call) => !index.has(call));
}

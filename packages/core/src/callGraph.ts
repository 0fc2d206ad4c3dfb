/** The calls that each call makes, by name. */
export type CallGraph = Record<string, { children: string[] }>;

/** Names of the calls that make `name`, in the order of the graph. */
export function parentsOf(graph: CallGraph, name: string): string[] {
  return Object.keys(graph).filter((parent) => graph[parent]?.children.includes(name));
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

/** Calls in the tree below and including `name`, each counted as often as it is reached. */
export function treeSizeOf(graph: CallGraph, name: string): number {
  const children = graph[name]?.children ?? [];
  return children.reduce((size, child) => size + treeSizeOf(graph, child), 1);
}

/** Names of the calls at the top of every way that leads to `name`; itself when nothing makes it. */
export function rootsOf(graph: CallGraph, name: string): string[] {
  const parents = parentsOf(graph, name);
  if (parents.length === 0) return [name];
  return [...new Set(parents.flatMap((parent) => rootsOf(graph, parent)))];
}

/** Calls on the longest way down from `name`, itself included. */
export function depthOf(graph: CallGraph, name: string): number {
  const children = graph[name]?.children ?? [];
  return 1 + Math.max(0, ...children.map((child) => depthOf(graph, child)));
}

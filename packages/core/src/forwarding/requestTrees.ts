import type { Importance } from '../configuration/configuration.js';

/** What a request passes on to the calls that its target makes. */
export interface TreeContext {
  /** Id of the request at the root. */
  rootId: string;
  importance: Importance;
  /** Name of the route of this request. */
  route: string;
}

/**
 * Requests that the target beside this daemon works on, so that calls which it makes for them are
 * known as part of their trees: they keep the root's place in the order of shedding, and what the
 * routes need further down is learnt.
 */
export class RequestTrees {
  private readonly running = new Map<string, TreeContext>();

  /** Routes that requests of a route call, by route name. */
  private readonly children = new Map<string, Set<string>>();

  /** The target works on a request now. */
  begin(id: string, { rootId, importance, route }: TreeContext): void {
    this.running.set(id, { rootId, importance, route });
  }

  end(id: string): void {
    this.running.delete(id);
  }

  /** The tree to which a call with this parent belongs; notes that its route is called. */
  join(parentId: string | undefined, route: string): TreeContext | undefined {
    const parent = parentId === undefined ? undefined : this.running.get(parentId);
    if (!parent) return undefined;
    const known = this.children.get(parent.route) ?? new Set();
    known.add(route);
    this.children.set(parent.route, known);
    return { ...parent, route };
  }

  /** Routes that requests of a route were seen to call. */
  childrenOf(route: string): Iterable<string> {
    return this.children.get(route) ?? [];
  }

  /** Forgets routes that the configuration no longer has. */
  keepRoutes(names: ReadonlySet<string>): void {
    this.children.forEach((called, route) => {
      if (!names.has(route)) this.children.delete(route);
      called.forEach((child) => {
        if (!names.has(child)) called.delete(child);
      });
    });
  }
}

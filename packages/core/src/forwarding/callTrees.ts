import type { Importance } from '../configuration/configuration.js';

/** What the child calls of a request inherit from it. */
export interface CallTreeContext {
  /** Id of the request at the root of the call tree. */
  rootId: string;
  importance: Importance;
  /** Name of the route of this request. */
  route: string;
}

/**
 * Requests that the target beside this daemon is running. Calls that the target makes for them
 * are assigned to the same call tree, so that they keep the priority of the root, and the routes
 * they use are recorded as child routes, from which downstream shed levels are computed.
 */
export class CallTrees {
  private readonly activeRequests = new Map<string, CallTreeContext>();

  /** Routes called by requests of a route, by route name. */
  private readonly childRoutes = new Map<string, Set<string>>();

  /** Records that the target has started to run a request. */
  begin(id: string, { rootId, importance, route }: CallTreeContext): void {
    this.activeRequests.set(id, { rootId, importance, route });
  }

  /** Records that the target has ended a request. */
  end(id: string): void {
    this.activeRequests.delete(id);
  }

  /**
   * Records a call to `route` by the request `parentId`. Returns the context of the call, or
   * undefined if that request is not active.
   */
  recordChildCall(parentId: string | undefined, route: string): CallTreeContext | undefined {
    const parent = parentId === undefined ? undefined : this.activeRequests.get(parentId);
    if (!parent) return undefined;
    const children = this.childRoutes.get(parent.route) ?? new Set();
    children.add(route);
    this.childRoutes.set(parent.route, children);
    return { ...parent, route };
  }

  /** Routes that requests of a route have called. */
  childrenOf(route: string): Iterable<string> {
    return this.childRoutes.get(route) ?? [];
  }

  /** Removes routes that are no longer in the configuration. */
  keepRoutes(names: ReadonlySet<string>): void {
    this.childRoutes.forEach((children, route) => {
      if (!names.has(route)) this.childRoutes.delete(route);
      children.forEach((child) => {
        if (!names.has(child)) children.delete(child);
      });
    });
  }
}

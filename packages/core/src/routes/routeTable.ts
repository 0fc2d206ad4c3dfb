import type { Route } from './route.js';

/** Finds the route of a request by exact host name and longest path prefix. */
export class RouteTable {
  private readonly hosts = new Map<string, Route[]>();

  constructor(routes: Route[]) {
    routes.forEach((route) => {
      const known = this.hosts.get(route.host) ?? [];
      known.push(route);
      this.hosts.set(route.host, known);
    });
    this.hosts.forEach((list) => list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
  }

  /** The route for `host` and `path`, or undefined. A port in `host` is ignored. */
  match(host: string, path: string): Route | undefined {
    const name = host.split(':', 1)[0]?.toLowerCase() ?? '';
    return this.hosts.get(name)?.find((route) => path.startsWith(route.pathPrefix));
  }
}

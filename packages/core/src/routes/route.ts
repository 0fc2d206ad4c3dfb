import type { Execution } from '../configuration/configuration.js';

/** A service that receives part of a route's requests. */
export interface RouteShare {
  service: string;
  /** Share of the requests, relative to the other shares of the route. */
  weight: number;
}

/** Policy of the requests whose host and path match. */
export interface Route {
  name: string;
  /** Host name in the requests, in lower case. */
  host: string;
  /** Prefix of the path; starts and ends with a slash. */
  pathPrefix: string;
  execution: Execution;
  /** Time after which a request fails if it has no response, in milliseconds. */
  timeoutMs: number;
  /** Time within which a response has its full value, in milliseconds. */
  targetLatencyMs: number;
  /** Rank of importance; 0 is the most important. */
  rank: number;
  shares: RouteShare[];
  /** Largest number of attempts of one request that may have run. */
  maxAttempts: number;
}

/** Settings of a service to which routes lead. */
export interface RoutedService {
  name: string;
  /** Connections that one target accepts from all callers. */
  maxConnections: number;
}

/** Limits on the size and the timing of incoming requests. */
export interface IngressLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** One version of the routing configuration. */
export interface RoutingConfiguration {
  /** Higher versions replace lower ones. */
  version: number;
  routes: Route[];
  services: RoutedService[];
  limits: IngressLimits;
}

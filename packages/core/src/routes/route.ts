import type { Execution } from '../configuration/configuration.js';

/** A service that takes part of a route's requests. */
export interface RouteShare {
  service: string;
  /** Share of the requests, relative to the other shares of the route. */
  weight: number;
}

/** Policy of the requests whose host and path match. */
export interface Route {
  name: string;
  /** Host name that the request names, in lower case. */
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  execution: Execution;
  /** Longest time that a request may be kept waiting, in milliseconds. */
  timeoutMs: number;
  /** Time within which an answer has its full value, in milliseconds. */
  targetLatencyMs: number;
  /** Urgency; 0 is the most urgent. */
  rank: number;
  shares: RouteShare[];
  /** Most targets to which one request may be sent. */
  maxAttempts: number;
}

/** What is known of a service from the operators. */
export interface RoutedService {
  name: string;
  /** Connections that one target accepts from all callers. */
  maxConnections: number;
}

/** What callers may send, and how slowly. */
export interface IngressLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** One version of the operators' routes. */
export interface RoutingConfiguration {
  /** Higher versions replace lower ones. */
  version: number;
  routes: Route[];
  services: RoutedService[];
  limits: IngressLimits;
}

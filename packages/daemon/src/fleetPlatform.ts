import type {
  Failure,
  HeaderCodec,
  HttpHandler,
  LocalTarget,
  Result,
  RoutingConfiguration,
  Store,
  StorePacing,
} from '@shallotcroft/core';

/** Platform adapter: the store, and the codecs of headers, heartbeats and configuration. */
export interface FleetPlatform {
  store: Store;
  /** Paces the requests to the store; the daemon reports the size of the fleet to it. */
  pacing: StorePacing;
  headerCodec: HeaderCodec;
  /** Key of the operators' configuration in the store. */
  configurationKey: string;
  /** Decodes a configuration from the store; fails with `configurationMissing` if it is invalid. */
  decodeConfiguration(value: string): Result<RoutingConfiguration, Failure>;
  /** Creates the handler for heartbeats of the local target. */
  heartbeatHandler(target: LocalTarget): HttpHandler;
  /** Calls `listener` when the store becomes reachable or unreachable. */
  onStoreReachabilityChange(listener: (reachable: boolean) => void): void;
  /** Creates the handler for the platform's readiness checks. */
  readinessHandler(isReady: () => boolean): HttpHandler;
}

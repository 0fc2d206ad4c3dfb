import type {
  Failure,
  HeaderCodec,
  HttpHandler,
  LocalTarget,
  Result,
  RoutingConfiguration,
  Store,
} from '@shallotcroft/core';

/** What a platform's adapter brings: its store, and how its messages are read and written. */
export interface FleetPlatform {
  store: Store;
  headerCodec: HeaderCodec;
  /** Key under which the operators' configuration lies in the store. */
  configurationKey: string;
  /** Reads a configuration from the store; fails with `configurationMissing`. */
  decodeConfiguration(value: string): Result<RoutingConfiguration, Failure>;
  /** Answers the heartbeats of the target beside the daemon. */
  heartbeatHandler(target: LocalTarget): HttpHandler;
  /** Calls `listener` when the store becomes reachable or stops being so. */
  onStoreReachable(listener: (reachable: boolean) => void): void;
  /** Answers the platform's question whether the daemon is ready. */
  readinessHandler(isReady: () => boolean): HttpHandler;
}

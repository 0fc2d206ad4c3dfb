import {
  HopServer,
  headersWithout,
  isConnectionHeader,
  listenHttp,
  metricsText,
} from '@shallotcroft/core';
import type {
  Endpoint,
  HttpResponse,
  HttpHandler,
  HttpRequest,
  ListeningServer,
} from '@shallotcroft/core';
import type { ForwardingOptions } from './forwardingContext.js';
import type { ForwardingParts } from './forwardingParts.js';

/** Largest request body that is held while no configuration says otherwise, in bytes. */
const MAX_BODY_BYTES = 64 * 1024 * 1024;
/** Idle time after which callers' connections are closed while no configuration is known. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;

/** Everything that a forwarding daemon listens on. */
export interface ForwardingListeners {
  /** Requests of callers and of the target on this host. */
  requests: ListeningServer;
  /** Requests of other daemons. */
  hops: HopServer;
  /** Readiness, heartbeats and metrics. */
  others: ListeningServer[];
}

function listen(endpoint: Endpoint, handler: HttpHandler): Promise<ListeningServer> {
  return listenHttp(endpoint.address, endpoint.port, MAX_BODY_BYTES, handler);
}

function createRequestHandler(options: ForwardingOptions, parts: ForwardingParts): HttpHandler {
  const { headerCodec } = options.platform;
  return async (message: HttpRequest): Promise<HttpResponse> => {
    const caller = headerCodec.readCaller(message.headers);
    const headers = headersWithout(
      message.headers,
      (name) => isConnectionHeader(name) || headerCodec.isEnvelopeHeader(name),
    );
    const { host } = message.headers;
    const response = await parts.gateway.forward(
      {
        id: caller?.id ?? '',
        parentId: caller?.parentId,
        method: message.method,
        url: message.url,
        host: typeof host === 'string' ? host : '',
        headers,
        body: message.body,
        remainingMs: caller?.remainingMs,
      },
      message.signal,
    );
    // A stopping daemon lets callers go with their last answer.
    if (parts.state.isStopping) response.headers.connection = 'close';
    return response;
  };
}

function createMetricsHandler(parts: ForwardingParts): HttpHandler {
  const { state, routing, directory, gateway, admission, counters, histograms } = parts;
  return async () => {
    const { inFlight, waiting, limit } = admission.load();
    const gauges = {
      configuration_version: routing.version(),
      store_reachable: state.isStoreReachable ? 1 : 0,
      targets_known: directory.all().length,
      requests_active: gateway.active(),
      target_in_flight: inFlight,
      target_waiting: waiting,
      target_limit: limit,
      shed_level: admission.shedLevel(),
    };
    const body = Buffer.from(metricsText(gauges, counters, histograms.rows()));
    return { status: 200, headers: { 'content-type': 'text/plain' }, body };
  };
}

function createHopServer(options: ForwardingOptions, parts: ForwardingParts): HopServer {
  const { routing, guard, fleetSync, hopEnd } = parts;
  return new HopServer(
    hopEnd,
    (request, signal, remoteAddress) => {
      if (request.configurationVersion > routing.version()) {
        fleetSync.askPeer(remoteAddress, request.peerPort);
      }
      return guard.handle(request, signal);
    },
    options.logger,
  );
}

function isReady({ state, routing, directory }: ForwardingParts): boolean {
  return !state.isStopping && routing.current() !== undefined && directory.all().length > 0;
}

/** Starts listening; rejects when an address is taken. */
export async function listenForwarding(
  options: ForwardingOptions,
  parts: ForwardingParts,
): Promise<ForwardingListeners> {
  const { settings, platform } = options;
  const { address } = settings;
  const { requests, readiness, heartbeats, callPort, peerPort, metricsPort } = settings.listen;
  const hops = createHopServer(options, parts);
  const listeners: ForwardingListeners = {
    requests: await listen(requests, createRequestHandler(options, parts)),
    hops,
    others: [
      await listen(
        readiness,
        platform.readinessHandler(() => isReady(parts)),
      ),
      await listen(heartbeats, platform.heartbeatHandler(parts.target)),
      await listen({ address, port: metricsPort }, createMetricsHandler(parts)),
    ],
  };
  await hops.listen(address, callPort);
  await parts.methods.listen(address, peerPort);
  const { server } = listeners.requests;
  server.keepAliveTimeout = DEFAULT_IDLE_TIMEOUT_MS;
  parts.routing.onChange(({ limits }) => {
    server.keepAliveTimeout = limits.idleTimeoutMs;
    server.headersTimeout = limits.headerTimeoutMs;
  });
  return listeners;
}

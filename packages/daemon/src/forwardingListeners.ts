import {
  HopServer,
  headersWithout,
  isConnectionHeader,
  httpStatusOf,
  listenHttp,
  metricsText,
  startHttpServer,
} from '@shallotcroft/core';
import type {
  Endpoint,
  HttpResponse,
  HttpHandler,
  HttpRequest,
  ListeningServer,
} from '@shallotcroft/core';
import type { ForwardingOptions } from './forwardingContext.js';
import { listenWhenFree } from './listenWhenFree.js';
import type { ForwardingComponents } from './forwardingComponents.js';

/** Limit of the size of a request body until a configuration sets one, in bytes. */
const DEFAULT_MAX_BODY_BYTES = 64 * 1024 * 1024;
/** Limit of the size of a heartbeat and of other messages of the platform, in bytes. */
const MAX_PLATFORM_MESSAGE_BYTES = 16 * 1024;
/** Idle timeout of callers' connections until a configuration sets one, in milliseconds. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;

/** Listeners of a forwarding daemon. */
export interface ForwardingListeners {
  /** Requests of callers and of the target on this host. */
  requests: ListeningServer;
  /** Requests of other daemons. */
  hops: HopServer;
  /** Readiness, heartbeats and metrics. */
  auxiliary: ListeningServer[];
}

function listenForPlatform(endpoint: Endpoint, handler: HttpHandler): Promise<ListeningServer> {
  return listenHttp(endpoint.address, endpoint.port, MAX_PLATFORM_MESSAGE_BYTES, handler);
}

function createRequestHandler(
  options: ForwardingOptions,
  components: ForwardingComponents,
): HttpHandler {
  const { headerCodec } = options.platform;
  return async (message: HttpRequest): Promise<HttpResponse> => {
    const caller = headerCodec.readCaller(message.headers);
    const headers = headersWithout(
      message.headers,
      (name) => isConnectionHeader(name) || headerCodec.isEnvelopeHeader(name),
    );
    const { host } = message.headers;
    const response = await components.gateway.forward(
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
    // Callers of a stopping daemon must not reuse the connection.
    if (components.state.isStopping) response.headers.connection = 'close';
    return response;
  };
}

function createMetricsHandler(components: ForwardingComponents): HttpHandler {
  const { state, routing, directory, gateway, admission, counters, histograms, notices } =
    components;
  return async () => {
    const { inFlight, waiting, limit } = admission.load();
    const rateLimit = notices.rateLimit()?.requestsPerSecond;
    const gauges = {
      configuration_version: routing.version(),
      store_reachable: state.isStoreReachable ? 1 : 0,
      targets_known: directory.all().length,
      requests_active: gateway.active(),
      target_in_flight: inFlight,
      target_waiting: waiting,
      target_limit: limit,
      ...(rateLimit !== undefined && { target_rate_limit: rateLimit }),
      shed_level: admission.shedLevel(),
    };
    const body = Buffer.from(metricsText(gauges, counters, histograms.rows()));
    return { status: 200, headers: { 'content-type': 'text/plain' }, body };
  };
}

function createHopServer(options: ForwardingOptions, components: ForwardingComponents): HopServer {
  const { routing, guard, fleetSync, localHopPeer } = components;
  return new HopServer(
    localHopPeer,
    (request, signal, remoteAddress) => {
      if (request.configurationVersion > routing.version()) {
        fleetSync.pullFromPeer(remoteAddress, request.peerPort);
      }
      return guard.handle(request, signal);
    },
    options.logger,
    components.heldBytes,
  );
}

function isReady({ state, routing, directory }: ForwardingComponents): boolean {
  return !state.isStopping && routing.current() !== undefined && directory.all().length > 0;
}

function listenForRequests(
  options: ForwardingOptions,
  components: ForwardingComponents,
): Promise<ListeningServer> {
  const { settings, platform, logger } = options;
  return startHttpServer({
    ...settings.listen.requests,
    limitBytes: DEFAULT_MAX_BODY_BYTES,
    handler: createRequestHandler(options, components),
    heldBytes: components.heldBytes,
    onBodyRefused: (headers, { code, message }) => {
      logger.log('warn', 'request rejected', {
        request: platform.headerCodec.readCaller(headers)?.id,
        code,
        reason: message,
      });
      components.counters.increment('requests_total', String(httpStatusOf(code)));
    },
  });
}

/** Starts all listeners of a forwarding daemon; rejects if a port stays in use. */
export async function startForwardingListeners(
  options: ForwardingOptions,
  components: ForwardingComponents,
): Promise<ForwardingListeners> {
  const { settings, platform, logger } = options;
  const { address } = settings;
  const { requests, readiness, heartbeats, callPort, peerPort, metricsPort } = settings.listen;
  const hops = createHopServer(options, components);
  const whenFree = <T>(port: number, listen: () => Promise<T>): Promise<T> =>
    listenWhenFree({ ...options, port }, listen);
  const listeners: ForwardingListeners = {
    requests: await whenFree(requests.port, () => listenForRequests(options, components)),
    hops,
    auxiliary: [
      await whenFree(readiness.port, () =>
        listenForPlatform(
          readiness,
          platform.readinessHandler(() => isReady(components)),
        ),
      ),
      await whenFree(heartbeats.port, () =>
        listenForPlatform(heartbeats, platform.heartbeatHandler(components.target)),
      ),
    ],
  };
  await whenFree(callPort, () => hops.listen(address, callPort));
  await whenFree(peerPort, () => components.methods.listen(address, peerPort));
  // Requests do not depend on the metrics, so the daemon runs without them if it must.
  whenFree(metricsPort, () =>
    listenForPlatform({ address, port: metricsPort }, createMetricsHandler(components)),
  )
    .then((metrics) => listeners.auxiliary.push(metrics))
    .catch((error: Error) => {
      logger.log('error', 'metrics are not served', { port: metricsPort, reason: error.message });
    });
  const { server } = listeners.requests;
  server.keepAliveTimeout = DEFAULT_IDLE_TIMEOUT_MS;
  components.routing.onChange(({ limits }) => {
    server.keepAliveTimeout = limits.idleTimeoutMs;
    server.headersTimeout = limits.headerTimeoutMs;
  });
  return listeners;
}

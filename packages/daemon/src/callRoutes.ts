import {
  ANNOUNCEMENT_RENEWAL_MS,
  ResultCode,
  failureResponse,
  createFailure,
} from '@shallotcroft/core';
import type {
  CallHeaders,
  CallRequest,
  HttpResponse,
  HttpHandler,
  HttpRequest,
} from '@shallotcroft/core';
import type { DaemonComponents } from './daemonComponents.js';

/** Addresses from which a target may announce itself, in addition to the daemon's own address. */
const loopbackAddresses = new Set(['127.0.0.1', '::1', '::ffff:127.0.0.1']);

function errorResponse(code: Parameters<typeof createFailure>[0], message: string): HttpResponse {
  return failureResponse(createFailure(code, message));
}

function callRequestOf(message: HttpRequest, service: string, call: string): CallRequest {
  return {
    call: `${service}.${call}`,
    headers: message.headers as CallHeaders,
    body: message.body,
  };
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}

/**
 * Creates the handler of the call port: `/call/` for calls, `/hop/` for attempts sent by other
 * daemons, and `/announce` for announcements of the local target.
 */
export function createCallRoutes(components: DaemonComponents, ownAddress: string): HttpHandler {
  function announce(message: HttpRequest): HttpResponse {
    const { remoteAddress } = message;
    if (!loopbackAddresses.has(remoteAddress) && remoteAddress !== ownAddress) {
      return errorResponse(
        ResultCode.badRequest,
        'a target must announce itself from the host of its daemon',
      );
    }
    const registered = components.registry.announce(parseJson(message.body));
    if (registered.isErr()) return failureResponse(registered.error);
    const body = Buffer.from(JSON.stringify({ renewAfterMs: ANNOUNCEMENT_RENEWAL_MS }));
    return { status: 200, headers: { 'content-type': 'application/json' }, body };
  }

  async function dispatch(message: HttpRequest): Promise<HttpResponse> {
    const [, route, service, call, rest] = message.path.split('/');
    if (message.method !== 'POST') {
      return errorResponse(ResultCode.badRequest, 'send calls with POST /call/SERVICE/CALL');
    }
    if (route === 'announce') return announce(message);
    if (service && call && rest === undefined) {
      const request = callRequestOf(message, service, call);
      if (route === 'hop') return components.guard.handle(request, message.signal);
      if (route === 'call') return components.gateway.call(request, message.signal);
    }
    return errorResponse(
      ResultCode.badRequest,
      `${message.path} is not served; use /call/SERVICE/CALL`,
    );
  }

  return async (message) => {
    const response = await dispatch(message);
    if (components.registry.state() !== 'draining') return response;
    // Clients must not keep connections to a daemon that is about to exit.
    return { ...response, headers: { ...response.headers, connection: 'close' } };
  };
}

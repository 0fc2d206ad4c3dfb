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
import type { DaemonParts } from './daemonParts.js';

/** Addresses from which a target may announce itself, besides the daemon's own. */
const loopbackAddresses = new Set(['127.0.0.1', '::1', '::ffff:127.0.0.1']);

function failed(code: Parameters<typeof createFailure>[0], message: string): HttpResponse {
  return failureResponse(createFailure(code, message));
}

function requestOf(message: HttpRequest, service: string, call: string): CallRequest {
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

/** Routes of the call port: calls, attempts of other daemons, and the target's announcements. */
export function createCallRoutes(parts: DaemonParts, ownAddress: string): HttpHandler {
  function announce(message: HttpRequest): HttpResponse {
    const { remoteAddress } = message;
    if (!loopbackAddresses.has(remoteAddress) && remoteAddress !== ownAddress) {
      return failed(
        ResultCode.badRequest,
        'a target announces itself to the daemon on its own host',
      );
    }
    const announced = parts.registry.announce(parseJson(message.body));
    if (announced.isErr()) return failureResponse(announced.error);
    const body = Buffer.from(JSON.stringify({ renewAfterMs: ANNOUNCEMENT_RENEWAL_MS }));
    return { status: 200, headers: { 'content-type': 'application/json' }, body };
  }

  async function answer(message: HttpRequest): Promise<HttpResponse> {
    const [, route, service, call, rest] = message.path.split('/');
    if (message.method !== 'POST') {
      return failed(ResultCode.badRequest, 'send calls with POST /call/SERVICE/CALL');
    }
    if (route === 'announce') return announce(message);
    if (service && call && rest === undefined) {
      const request = requestOf(message, service, call);
      if (route === 'hop') return parts.guard.handle(request, message.signal);
      if (route === 'call') return parts.gateway.call(request, message.signal);
    }
    return failed(ResultCode.badRequest, `${message.path} is not served; use /call/SERVICE/CALL`);
  }

  return async (message) => {
    const answered = await answer(message);
    if (parts.registry.state() !== 'draining') return answered;
    // Nobody is to hold a connection for the next call when this daemon has gone.
    return { ...answered, headers: { ...answered.headers, connection: 'close' } };
  };
}

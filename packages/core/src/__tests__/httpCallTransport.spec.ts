import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { CallRequest, SendBounds } from '../calls/call.js';
import { HttpCallTransport } from '../http/httpCallTransport.js';
import type { HttpCallTransportOptions } from '../http/httpCallTransport.js';
import { ManualClock } from '../runtime/manualClock.js';
import { ResultCode, isNotRun } from '../runtime/resultCode.js';
import { RawServer, echoResponse } from './support/rawServer.js';
import type { RawHandler, RawRequest } from './support/rawServer.js';

const SEED = 6;
const TIMEOUT_MS = 2000;
const IDLE_TIMEOUT_MS = 500;
const MAX_RESPONSE_BYTES = 1000;
const CLOSED_PORT = 1;

/** Transport and raw server connected over loopback, with a manual clock. */
class TransportFixture {
  readonly clock = new ManualClock();

  readonly transport: HttpCallTransport;

  private constructor(
    readonly server: RawServer,
    settings: Partial<HttpCallTransportOptions>,
  ) {
    this.transport = new HttpCallTransport({
      clock: this.clock,
      incarnation: 'test',
      requiresEcho: true,
      ...settings,
    });
  }

  static async open(handler: RawHandler, settings: Partial<HttpCallTransportOptions> = {}) {
    return new TransportFixture(await RawServer.listen(handler), settings);
  }

  send(body: string, bounds: Partial<SendBounds> = {}, port = this.server.port) {
    const request: CallRequest = { call: 'catalogue.read', headers: {}, body: Buffer.from(body) };
    return this.transport.send({ address: '127.0.0.1', port }, '/catalogue/read', request, {
      timeoutMs: TIMEOUT_MS,
      maxResponseBytes: MAX_RESPONSE_BYTES,
      signal: new AbortController().signal,
      ...bounds,
    });
  }

  async close(): Promise<void> {
    await this.transport.close();
    await this.server.close();
  }
}

function respond(request: RawRequest): void {
  request.socket.write(echoResponse(request));
}

async function textOf(sent: ReturnType<TransportFixture['send']>): Promise<string> {
  return (await sent).unwrap().body.toString();
}

async function codeOf(sent: ReturnType<TransportFixture['send']>): Promise<number> {
  return (await sent).unwrapErr().code;
}

test('a complete response is returned, and its connection is reused', async () => {
  const fixture = await TransportFixture.open(respond);
  assert.equal(await textOf(fixture.send('one')), 'response to one');
  assert.equal(await textOf(fixture.send('two')), 'response to two');
  assert.equal(fixture.server.connections, 1);
  await fixture.close();
});

const brokenResponses: Record<string, { handler: RawHandler; code: number }> = {
  'is shorter than its content length': {
    handler: (request) => request.socket.end(echoResponse(request).slice(0, -3)),
    code: ResultCode.unknownAnswerTruncated,
  },
  'ends before its last chunk': {
    handler: ({ id, socket }) =>
      socket.end(
        `HTTP/1.1 200 OK\r\nx-shallotcroft-request: ${id}\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n`,
      ),
    code: ResultCode.unknownAnswerTruncated,
  },
  'has neither a content length nor chunked encoding': {
    handler: ({ id, socket }) =>
      socket.end(`HTTP/1.1 200 OK\r\nx-shallotcroft-request: ${id}\r\n\r\nwho knows`),
    code: ResultCode.unknownAnswerTruncated,
  },
  'is truncated by a connection reset': {
    handler: (request) => {
      request.socket.write(echoResponse(request).slice(0, -3), () =>
        request.socket.resetAndDestroy(),
      );
    },
    code: ResultCode.unknownAnswerTruncated,
  },
  'has a content length over the limit': {
    handler: (request) =>
      request.socket.write(echoResponse(request, 'x'.repeat(MAX_RESPONSE_BYTES + 1))),
    code: ResultCode.unknownAnswerTooLarge,
  },
  'exceeds the limit in chunks': {
    handler: ({ id, socket }) => {
      const chunk = `200\r\n${'x'.repeat(512)}\r\n`;
      socket.write(
        `HTTP/1.1 200 OK\r\nx-shallotcroft-request: ${id}\r\ntransfer-encoding: chunked\r\n\r\n${chunk}${chunk}`,
      );
    },
    code: ResultCode.unknownAnswerTooLarge,
  },
  'is not HTTP': {
    handler: ({ socket }) => socket.write('what?\r\n\r\n'),
    code: ResultCode.unknownConnectionLost,
  },
  'has no request id': {
    handler: ({ socket }) => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi'),
    code: ResultCode.unknownConnectionLost,
  },
  'has the id of another request': {
    handler: (request) => request.socket.write(echoResponse({ ...request, id: 'test-77' })),
    code: ResultCode.unknownConnectionLost,
  },
  'is missing because the connection is closed': {
    handler: ({ socket }) => socket.destroy(),
    code: ResultCode.unknownConnectionLost,
  },
};

Object.entries(brokenResponses).forEach(([name, { handler, code }]) => {
  test(`a response that ${name} is an error, and its connection is not reused`, async () => {
    const fixture = await TransportFixture.open((request, index) => {
      if (index === 1) handler(request, index);
      else respond(request);
    });
    assert.equal(await codeOf(fixture.send('one')), code);
    assert.equal(await textOf(fixture.send('two')), 'response to two');
    assert.equal(fixture.server.connections, 2);
    await fixture.close();
  });
});

// A response after the timeout must not be returned as the response to the next request.
test('a response that arrives after the timeout is discarded', async () => {
  const pending: RawRequest[] = [];
  const fixture = await TransportFixture.open((request, index) => {
    if (index === 1) pending.push(request);
    else respond(request);
  });
  const late = fixture.send('one');
  await fixture.server.waitForRequests(1);
  await fixture.clock.advance(TIMEOUT_MS);
  assert.equal(await codeOf(late), ResultCode.unknownTimeout);
  pending.forEach(respond);
  assert.equal(await textOf(fixture.send('two')), 'response to two');
  assert.equal(fixture.server.connections, 2);
  await fixture.close();
});

test('a response that arrives after cancellation is discarded', async () => {
  const pending: RawRequest[] = [];
  const fixture = await TransportFixture.open((request, index) => {
    if (index === 1) pending.push(request);
    else respond(request);
  });
  const caller = new AbortController();
  const cancelled = fixture.send('one', { signal: caller.signal });
  await fixture.server.waitForRequests(1);
  caller.abort();
  assert.equal(await codeOf(cancelled), ResultCode.unknownCancelled);
  pending.forEach(respond);
  assert.equal(await textOf(fixture.send('two')), 'response to two');
  await fixture.close();
});

// A server that responds twice leaves a response on the connection, ahead of that to the next request.
test('a second response to one request is not returned for the next request', async () => {
  const previous: RawRequest[] = [];
  const fixture = await TransportFixture.open((request, index) => {
    if (index === 2) request.socket.write(echoResponse(previous[0] as RawRequest));
    previous.push(request);
    respond(request);
  });
  assert.equal(await textOf(fixture.send('one')), 'response to one');
  assert.equal(await codeOf(fixture.send('two')), ResultCode.unknownConnectionLost);
  assert.equal(fixture.transport.counts.mismatchedResponses, 1);
  assert.equal(await textOf(fixture.send('three')), 'response to three');
  await fixture.close();
});

test('responses that are swapped between two connections are both rejected', async () => {
  const pending: RawRequest[] = [];
  const fixture = await TransportFixture.open((request) => {
    pending.push(request);
    if (pending.length !== 2) return;
    const [first, second] = pending as [RawRequest, RawRequest];
    first.socket.write(echoResponse(second));
    second.socket.write(echoResponse(first));
  });
  const codes = await Promise.all([codeOf(fixture.send('one')), codeOf(fixture.send('two'))]);
  assert.deepEqual(codes, [ResultCode.unknownConnectionLost, ResultCode.unknownConnectionLost]);
  assert.equal(fixture.transport.counts.mismatchedResponses, 2);
  await fixture.close();
});

test('a call to a port without a listener is reported as not run', async () => {
  const fixture = await TransportFixture.open(respond);
  assert.equal(await codeOf(fixture.send('one', {}, CLOSED_PORT)), ResultCode.notRunConnect);
  await fixture.close();
});

test('a call that is cancelled, times out or exceeds the queue before it gets a connection is not run', async () => {
  const fixture = await TransportFixture.open(() => {}, {
    connections: { maxConnections: 1, maxQueued: 2 },
  });
  const first = fixture.send('one');
  await fixture.server.waitForRequests(1);
  const bytesBefore = fixture.server.receivedBytes;
  const caller = new AbortController();
  const cancelled = fixture.send('two', { signal: caller.signal });
  const timedOut = fixture.send('three', { timeoutMs: 100 });
  assert.equal(await codeOf(fixture.send('four')), ResultCode.notRunConnect);
  caller.abort();
  await fixture.clock.advance(100);
  assert.equal(await codeOf(cancelled), ResultCode.notRunCancelled);
  assert.equal(await codeOf(timedOut), ResultCode.notRunConnect);
  await fixture.clock.advance(TIMEOUT_MS);
  assert.equal(await codeOf(first), ResultCode.unknownTimeout);
  assert.equal(fixture.server.receivedBytes, bytesBefore);
  await fixture.close();
});

test('a queued call is sent when a connection becomes available', async () => {
  const pending: RawRequest[] = [];
  const fixture = await TransportFixture.open(
    (request, index) => {
      if (index === 1) pending.push(request);
      else respond(request);
    },
    { connections: { maxConnections: 1 } },
  );
  const first = fixture.send('one');
  const second = fixture.send('two');
  await fixture.server.waitForRequests(1);
  pending.forEach(respond);
  assert.equal(await textOf(first), 'response to one');
  assert.equal(await textOf(second), 'response to two');
  await fixture.close();
});

// A connection whose peer is lost without a reset gives no error; only the idle timeout detects it.
test('an unresponsive connection is detected before the deadline and replaced by a new one', async () => {
  const fixture = await TransportFixture.open(
    (request) => {
      if (request.connection !== 1 || request.body === 'one') respond(request);
    },
    { idleTimeoutMs: IDLE_TIMEOUT_MS },
  );
  assert.equal(await textOf(fixture.send('one')), 'response to one');
  const stalled = fixture.send('two');
  await fixture.server.waitForRequests(2);
  await fixture.clock.advance(IDLE_TIMEOUT_MS + 100);
  assert.equal(await codeOf(stalled), ResultCode.unknownConnectionLost);
  assert.equal(fixture.transport.counts.unresponsive, 1);
  assert.equal(await textOf(fixture.send('three')), 'response to three');
  await fixture.close();
});

test('the idle timeout of one call does not apply to other calls', async () => {
  const fixture = await TransportFixture.open(() => {});
  const bounded = fixture.send('one', { idleTimeoutMs: IDLE_TIMEOUT_MS });
  const unbounded = fixture.send('two');
  await fixture.server.waitForRequests(2);
  await fixture.clock.advance(IDLE_TIMEOUT_MS + 100);
  assert.equal(await codeOf(bounded), ResultCode.unknownConnectionLost);
  await fixture.clock.advance(TIMEOUT_MS);
  assert.equal(await codeOf(unbounded), ResultCode.unknownTimeout);
  await fixture.close();
});

test('interim responses keep a slow call from reaching the idle timeout', async () => {
  const pending: RawRequest[] = [];
  const fixture = await TransportFixture.open(
    (request, index) => {
      if (index === 1) pending.push(request);
      else respond(request);
    },
    { idleTimeoutMs: IDLE_TIMEOUT_MS },
  );
  const slow = fixture.send('one');
  await fixture.server.waitForRequests(1);
  for (let interval = 0; interval < 3; interval++) {
    pending[0]?.socket.write('HTTP/1.1 102 Processing\r\n\r\n');
    // Once this call has its response, the interim response has been read too.
    await textOf(fixture.send('barrier'));
    await fixture.clock.advance(IDLE_TIMEOUT_MS - 100);
  }
  pending.forEach(respond);
  assert.equal(await textOf(slow), 'response to one');
  await fixture.close();
});

// The cause, such as a restarted middlebox, often affects all connections at once.
test('when one connection is unresponsive, idle connections to the same endpoint are closed', async () => {
  const unresponsive = new Set<number>();
  const fixture = await TransportFixture.open(
    (request) => {
      if (!unresponsive.has(request.connection)) respond(request);
    },
    { idleTimeoutMs: IDLE_TIMEOUT_MS },
  );
  await Promise.all(['a', 'b', 'c'].map((body) => textOf(fixture.send(body))));
  [1, 2, 3].forEach((connection) => unresponsive.add(connection));
  await fixture.clock.advance(10);
  const stalled = fixture.send('two');
  await fixture.server.waitForRequests(4);
  await fixture.clock.advance(IDLE_TIMEOUT_MS + 100);
  assert.equal(await codeOf(stalled), ResultCode.unknownConnectionLost);
  assert.equal(await textOf(fixture.send('three')), 'response to three');
  assert.equal(fixture.server.connections, 4);
  await fixture.close();
});

test('when one connection is unresponsive, idle connections to other endpoints are closed', async () => {
  const fixture = await TransportFixture.open((request, index) => index === 2 || respond(request), {
    idleTimeoutMs: IDLE_TIMEOUT_MS,
  });
  const other = await RawServer.listen(respond);
  await textOf(fixture.send('a'));
  await textOf(fixture.send('b', {}, other.port));
  await fixture.clock.advance(10);
  const stalled = fixture.send('c');
  await fixture.server.waitForRequests(2);
  await fixture.clock.advance(IDLE_TIMEOUT_MS + 100);
  assert.equal(await codeOf(stalled), ResultCode.unknownConnectionLost);
  assert.equal(await textOf(fixture.send('d', {}, other.port)), 'response to d');
  assert.equal(other.connections, 2);
  await fixture.close();
  await other.close();
});

test('a connection that was idle longer than the limit is not reused', async () => {
  const fixture = await TransportFixture.open(respond, { connections: { maxIdleMs: 300 } });
  assert.equal(await textOf(fixture.send('one')), 'response to one');
  await fixture.clock.advance(301);
  assert.equal(await textOf(fixture.send('two')), 'response to two');
  assert.equal(fixture.server.connections, 2);
  await fixture.close();
});

/** Behaviours of the server on one request. */
const behaviours = {
  respond,
  truncate: (request: RawRequest) => request.socket.end(echoResponse(request).slice(0, -2)),
  reset: (request: RawRequest) => request.socket.resetAndDestroy(),
  respondTwice: (request: RawRequest) => request.socket.write(echoResponse(request).repeat(2)),
  respondThenClose: (request: RawRequest) => request.socket.end(echoResponse(request)),
  mismatch: (request: RawRequest) =>
    request.socket.write(echoResponse({ ...request, id: 'test-0' }, 'of someone else')),
};

// Random sequences of server faults on reused connections. A caller must not get the response to
// another request, and a call that reached the server must not be reported as not run.
test('under any sequence of faults a call returns its own complete response or an error', async () => {
  const names = Object.keys(behaviours) as (keyof typeof behaviours)[];
  const property = fc.asyncProperty(
    fc.array(fc.constantFrom(...names), { minLength: 1, maxLength: 12 }),
    fc.integer({ min: 1, max: 4 }),
    async (script, atOnce) => {
      const fixture = await TransportFixture.open(
        (request, index) => behaviours[script[(index - 1) % script.length] ?? 'respond'](request),
        { connections: { maxConnections: 3 } },
      );
      const bodies = script.map((_act, index) => `call ${index}`);
      while (bodies.length > 0) {
        const batch = bodies.splice(0, atOnce);
        const results = await Promise.all(batch.map((body) => fixture.send(body)));
        results.forEach((result, index) => {
          const seen = fixture.server.requests.filter(({ body }) => body === batch[index]);
          assert.ok(seen.length <= 1, 'a call is sent at most once');
          if (result.isOk()) {
            assert.equal(result.value.body.toString(), `response to ${batch[index]}`);
          } else if (isNotRun(result.error.code)) {
            assert.equal(seen.length, 0);
          }
        });
      }
      await fixture.close();
    },
  );
  await fc.assert(property, { seed: SEED, numRuns: 150 });
});

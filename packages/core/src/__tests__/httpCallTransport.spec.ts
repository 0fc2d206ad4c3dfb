import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { CallRequest, SendBounds } from '../calls/call.js';
import { HttpCallTransport } from '../http/httpCallTransport.js';
import type { HttpTransportSettings } from '../http/httpCallTransport.js';
import { ManualClock } from '../runtime/manualClock.js';
import { ResultCode, isNotRun } from '../runtime/resultCode.js';
import { RawServer, echoOf } from './support/rawServer.js';
import type { RawHandler, RawRequest } from './support/rawServer.js';

const SEED = 6;
const TIMEOUT_MS = 2000;
const IDLE_TIMEOUT_MS = 500;
const MAX_RESPONSE_BYTES = 1000;
const CLOSED_PORT = 1;

/** A transport and a raw server that talk over loopback, on a clock that the test moves. */
class Bench {
  readonly clock = new ManualClock();

  readonly transport: HttpCallTransport;

  private constructor(
    readonly server: RawServer,
    settings: Partial<HttpTransportSettings>,
  ) {
    this.transport = new HttpCallTransport({
      clock: this.clock,
      incarnation: 'test',
      requiresEcho: true,
      ...settings,
    });
  }

  static async open(handler: RawHandler, settings: Partial<HttpTransportSettings> = {}) {
    return new Bench(await RawServer.listen(handler), settings);
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
  request.socket.write(echoOf(request));
}

async function textOf(sent: ReturnType<Bench['send']>): Promise<string> {
  return (await sent).unwrap().body.toString();
}

async function codeOf(sent: ReturnType<Bench['send']>): Promise<number> {
  return (await sent).unwrapErr().code;
}

test('a whole answer comes back, and the connection is used again', async () => {
  const bench = await Bench.open(respond);
  assert.equal(await textOf(bench.send('one')), 'answer to one');
  assert.equal(await textOf(bench.send('two')), 'answer to two');
  assert.equal(bench.server.connections, 1);
  await bench.close();
});

const brokenResponses: Record<string, { handler: RawHandler; code: number }> = {
  'is shorter than its length': {
    handler: (request) => request.socket.end(echoOf(request).slice(0, -3)),
    code: ResultCode.unknownAnswerTruncated,
  },
  'ends before its last chunk': {
    handler: ({ id, socket }) =>
      socket.end(
        `HTTP/1.1 200 OK\r\nx-shallotcroft-request: ${id}\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n`,
      ),
    code: ResultCode.unknownAnswerTruncated,
  },
  'has neither a length nor chunks': {
    handler: ({ id, socket }) =>
      socket.end(`HTTP/1.1 200 OK\r\nx-shallotcroft-request: ${id}\r\n\r\nwho knows`),
    code: ResultCode.unknownAnswerTruncated,
  },
  'is reset midway': {
    handler: (request) => {
      request.socket.write(echoOf(request).slice(0, -3), () => request.socket.resetAndDestroy());
    },
    code: ResultCode.unknownAnswerTruncated,
  },
  'announces too many bytes': {
    handler: (request) => request.socket.write(echoOf(request, 'x'.repeat(MAX_RESPONSE_BYTES + 1))),
    code: ResultCode.unknownAnswerTooLarge,
  },
  'grows too large in chunks': {
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
  'carries no id': {
    handler: ({ socket }) => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi'),
    code: ResultCode.unknownConnectionLost,
  },
  'carries the id of another request': {
    handler: (request) => request.socket.write(echoOf({ ...request, id: 'test-77' })),
    code: ResultCode.unknownConnectionLost,
  },
  'never comes, as the connection is closed': {
    handler: ({ socket }) => socket.destroy(),
    code: ResultCode.unknownConnectionLost,
  },
};

Object.entries(brokenResponses).forEach(([name, { handler, code }]) => {
  test(`an answer that ${name} is an error, and its connection is not used again`, async () => {
    const bench = await Bench.open((request, index) => {
      if (index === 1) handler(request, index);
      else respond(request);
    });
    assert.equal(await codeOf(bench.send('one')), code);
    assert.equal(await textOf(bench.send('two')), 'answer to two');
    assert.equal(bench.server.connections, 2);
    await bench.close();
  });
});

test('a late answer reaches nobody', async () => {
  const held: RawRequest[] = [];
  const bench = await Bench.open((request, index) => {
    if (index === 1) held.push(request);
    else respond(request);
  });
  const late = bench.send('one');
  await bench.server.seen(1);
  await bench.clock.advance(TIMEOUT_MS);
  assert.equal(await codeOf(late), ResultCode.unknownTimeout);
  held.forEach(respond);
  assert.equal(await textOf(bench.send('two')), 'answer to two');
  assert.equal(bench.server.connections, 2);
  await bench.close();
});

test('an answer after cancellation reaches nobody', async () => {
  const held: RawRequest[] = [];
  const bench = await Bench.open((request, index) => {
    if (index === 1) held.push(request);
    else respond(request);
  });
  const gone = new AbortController();
  const cancelled = bench.send('one', { signal: gone.signal });
  await bench.server.seen(1);
  gone.abort();
  assert.equal(await codeOf(cancelled), ResultCode.unknownCancelled);
  held.forEach(respond);
  assert.equal(await textOf(bench.send('two')), 'answer to two');
  await bench.close();
});

test('a second answer on the same connection is never taken for the next one', async () => {
  const previous: RawRequest[] = [];
  const bench = await Bench.open((request, index) => {
    if (index === 2) request.socket.write(echoOf(previous[0] as RawRequest));
    previous.push(request);
    respond(request);
  });
  assert.equal(await textOf(bench.send('one')), 'answer to one');
  assert.equal(await codeOf(bench.send('two')), ResultCode.unknownConnectionLost);
  assert.equal(bench.transport.counts.mismatchedResponses, 1);
  assert.equal(await textOf(bench.send('three')), 'answer to three');
  await bench.close();
});

test('answers that are swapped between two connections reach neither caller', async () => {
  const held: RawRequest[] = [];
  const bench = await Bench.open((request) => {
    held.push(request);
    if (held.length !== 2) return;
    const [first, second] = held as [RawRequest, RawRequest];
    first.socket.write(echoOf(second));
    second.socket.write(echoOf(first));
  });
  const codes = await Promise.all([codeOf(bench.send('one')), codeOf(bench.send('two'))]);
  assert.deepEqual(codes, [ResultCode.unknownConnectionLost, ResultCode.unknownConnectionLost]);
  assert.equal(bench.transport.counts.mismatchedResponses, 2);
  await bench.close();
});

test('nothing is sent when nobody listens, and the call was not run', async () => {
  const bench = await Bench.open(respond);
  assert.equal(await codeOf(bench.send('one', {}, CLOSED_PORT)), ResultCode.notRunConnect);
  await bench.close();
});

test('a call that is cancelled or over before a connection is free was not run', async () => {
  const bench = await Bench.open(() => {}, { connections: { maxConnections: 1, maxQueued: 2 } });
  const first = bench.send('one');
  await bench.server.seen(1);
  const bytesBefore = bench.server.receivedBytes;
  const gone = new AbortController();
  const cancelled = bench.send('two', { signal: gone.signal });
  const timedOut = bench.send('three', { timeoutMs: 100 });
  assert.equal(await codeOf(bench.send('four')), ResultCode.notRunConnect);
  gone.abort();
  await bench.clock.advance(100);
  assert.equal(await codeOf(cancelled), ResultCode.notRunCancelled);
  assert.equal(await codeOf(timedOut), ResultCode.notRunConnect);
  await bench.clock.advance(TIMEOUT_MS);
  assert.equal(await codeOf(first), ResultCode.unknownTimeout);
  assert.equal(bench.server.receivedBytes, bytesBefore);
  await bench.close();
});

test('a call that waits for a connection is sent when one is free', async () => {
  const held: RawRequest[] = [];
  const bench = await Bench.open(
    (request, index) => {
      if (index === 1) held.push(request);
      else respond(request);
    },
    { connections: { maxConnections: 1 } },
  );
  const first = bench.send('one');
  const second = bench.send('two');
  await bench.server.seen(1);
  held.forEach(respond);
  assert.equal(await textOf(first), 'answer to one');
  assert.equal(await textOf(second), 'answer to two');
  await bench.close();
});

test('a silent connection is noticed before the deadline, and a new one is tried', async () => {
  const bench = await Bench.open(
    (request) => {
      if (request.connection !== 1 || request.body === 'one') respond(request);
    },
    { idleTimeoutMs: IDLE_TIMEOUT_MS },
  );
  assert.equal(await textOf(bench.send('one')), 'answer to one');
  const stalled = bench.send('two');
  await bench.server.seen(2);
  await bench.clock.advance(IDLE_TIMEOUT_MS + 100);
  assert.equal(await codeOf(stalled), ResultCode.unknownConnectionLost);
  assert.equal(bench.transport.counts.unresponsive, 1);
  assert.equal(await textOf(bench.send('three')), 'answer to three');
  await bench.close();
});

test('one call can have a bound on silence where others have none', async () => {
  const bench = await Bench.open(() => {});
  const bounded = bench.send('one', { idleTimeoutMs: IDLE_TIMEOUT_MS });
  const unbounded = bench.send('two');
  await bench.server.seen(2);
  await bench.clock.advance(IDLE_TIMEOUT_MS + 100);
  assert.equal(await codeOf(bounded), ResultCode.unknownConnectionLost);
  await bench.clock.advance(TIMEOUT_MS);
  assert.equal(await codeOf(unbounded), ResultCode.unknownTimeout);
  await bench.close();
});

test('interim answers keep a slow call from being taken for a silent one', async () => {
  const held: RawRequest[] = [];
  const bench = await Bench.open(
    (request, index) => {
      if (index === 1) held.push(request);
      else respond(request);
    },
    { idleTimeoutMs: IDLE_TIMEOUT_MS },
  );
  const slow = bench.send('one');
  await bench.server.seen(1);
  for (let beat = 0; beat < 3; beat++) {
    held[0]?.socket.write('HTTP/1.1 102 Processing\r\n\r\n');
    // When this call has its answer, the interim answer has been read too.
    await textOf(bench.send('barrier'));
    await bench.clock.advance(IDLE_TIMEOUT_MS - 100);
  }
  held.forEach(respond);
  assert.equal(await textOf(slow), 'answer to one');
  await bench.close();
});

test('when one connection is silent, those that were idle with it are not used again', async () => {
  const silenced = new Set<number>();
  const bench = await Bench.open(
    (request) => {
      if (!silenced.has(request.connection)) respond(request);
    },
    { idleTimeoutMs: IDLE_TIMEOUT_MS },
  );
  await Promise.all(['a', 'b', 'c'].map((body) => textOf(bench.send(body))));
  [1, 2, 3].forEach((connection) => silenced.add(connection));
  await bench.clock.advance(10);
  const stalled = bench.send('two');
  await bench.server.seen(4);
  await bench.clock.advance(IDLE_TIMEOUT_MS + 100);
  assert.equal(await codeOf(stalled), ResultCode.unknownConnectionLost);
  assert.equal(await textOf(bench.send('three')), 'answer to three');
  assert.equal(bench.server.connections, 4);
  await bench.close();
});

test('when one connection is silent, those that were idle to other endpoints are not used again', async () => {
  const bench = await Bench.open((request, index) => index === 2 || respond(request), {
    idleTimeoutMs: IDLE_TIMEOUT_MS,
  });
  const other = await RawServer.listen(respond);
  await textOf(bench.send('a'));
  await textOf(bench.send('b', {}, other.port));
  await bench.clock.advance(10);
  const stalled = bench.send('c');
  await bench.server.seen(2);
  await bench.clock.advance(IDLE_TIMEOUT_MS + 100);
  assert.equal(await codeOf(stalled), ResultCode.unknownConnectionLost);
  assert.equal(await textOf(bench.send('d', {}, other.port)), 'answer to d');
  assert.equal(other.connections, 2);
  await bench.close();
  await other.close();
});

test('a connection that was idle for long is not used again', async () => {
  const bench = await Bench.open(respond, { connections: { maxIdleMs: 300 } });
  assert.equal(await textOf(bench.send('one')), 'answer to one');
  await bench.clock.advance(301);
  assert.equal(await textOf(bench.send('two')), 'answer to two');
  assert.equal(bench.server.connections, 2);
  await bench.close();
});

/** What a server may do with one request. */
const behaviours = {
  answer: respond,
  truncate: (request: RawRequest) => request.socket.end(echoOf(request).slice(0, -2)),
  reset: (request: RawRequest) => request.socket.resetAndDestroy(),
  answerTwice: (request: RawRequest) => request.socket.write(echoOf(request).repeat(2)),
  answerThenClose: (request: RawRequest) => request.socket.end(echoOf(request)),
  foreign: (request: RawRequest) =>
    request.socket.write(echoOf({ ...request, id: 'test-0' }, 'of someone else')),
};

test('in any order of faults a caller gets its own whole answer or an error, and "not run" is true', async () => {
  const names = Object.keys(behaviours) as (keyof typeof behaviours)[];
  const property = fc.asyncProperty(
    fc.array(fc.constantFrom(...names), { minLength: 1, maxLength: 12 }),
    fc.integer({ min: 1, max: 4 }),
    async (script, atOnce) => {
      const bench = await Bench.open(
        (request, index) => behaviours[script[(index - 1) % script.length] ?? 'answer'](request),
        { connections: { maxConnections: 3 } },
      );
      const bodies = script.map((_act, index) => `call ${index}`);
      while (bodies.length > 0) {
        const batch = bodies.splice(0, atOnce);
        const results = await Promise.all(batch.map((body) => bench.send(body)));
        results.forEach((result, index) => {
          const seen = bench.server.requests.filter(({ body }) => body === batch[index]);
          assert.ok(seen.length <= 1, 'one send is one request');
          if (result.isOk()) {
            assert.equal(result.value.body.toString(), `answer to ${batch[index]}`);
          } else if (isNotRun(result.error.code)) {
            assert.equal(seen.length, 0);
          }
        });
      }
      await bench.close();
    },
  );
  await fc.assert(property, { seed: SEED, numRuns: 150 });
});

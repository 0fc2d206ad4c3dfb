import assert from 'node:assert/strict';
import { test } from 'node:test';
import { v7 as uuidv7 } from 'uuid';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { resultCodeOf } from '../calls/callResponse.js';
import { CallTransport } from '../calls/call.js';
import type { CallResponse, CallRequest, Endpoint, SendBounds } from '../calls/call.js';
import { CallHeader } from '../calls/callHeaders.js';
import { createCallOrigins } from '../calls/callOrigin.js';
import type { CallPolicy, Configuration } from '../configuration/configuration.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import { createGateway } from '../calls/gateway.js';
import { createGuard } from '../calls/guard.js';
import { createHistograms } from '../observability/histograms.js';
import { INTERIM_TIMEOUT_MS } from '../calls/interimResponses.js';
import { silentLogger } from '../observability/logger.js';
import { ManualClock } from '../runtime/manualClock.js';
import type { Member } from '../membership/member.js';
import { createSeededRandom } from '../runtime/random.js';
import { ResultCode } from '../runtime/resultCode.js';
import { RetryBudget } from '../attempts/retryBudget.js';
import { createRunningCalls } from '../calls/runningCalls.js';
import type { RunningCall } from '../calls/runningCalls.js';
import { createAdmission } from '../admission/targetAdmission.js';
import { createTargetRegistry } from '../membership/targetRegistry.js';

const MAX_BODY_BYTES = 10;

const policy: CallPolicy = {
  name: 'consents.approve',
  service: 'consents',
  importance: 'critical',
  execution: 'repeatable',
  deadlineMs: 1000,
  attemptTokens: 0,
  maxAnswerBytes: 1000,
  maxBodyBytes: MAX_BODY_BYTES,
  children: ['payments.notify'],
};

const configuration: Configuration = {
  revision: 1,
  changeId: 'test',
  objective: 'recovery',
  services: {
    consents: { name: 'consents', slots: 2, connections: 2, limit: 'none', shards: 1 },
  },
  calls: { [policy.name]: policy },
};

type Responder = (
  request: CallRequest,
  bounds: SendBounds,
) => Promise<Result<CallResponse, Failure>>;

/** Transport that returns the responses of a test instead of sending requests. */
class StubTransport extends CallTransport {
  constructor(private readonly respond: Responder) {
    super();
  }

  send(_to: Endpoint, _path: string, request: CallRequest, bounds: SendBounds) {
    return this.respond(request, bounds);
  }

  // eslint-disable-next-line class-methods-use-this
  async close(): Promise<void> {
    // There are no connections.
  }
}

function createTestGuard(respond: Responder, interimAnswers = false) {
  const clock = new ManualClock();
  const runningCalls = createRunningCalls();
  const registry = createTargetRegistry({ clock });
  registry.announce({ service: 'consents', address: '127.0.0.1', port: 1, interimAnswers });
  const guard = createGuard({
    clock,
    transport: new StubTransport(respond),
    admission: createAdmission({
      clock,
      settings: { limit: 'none', slots: 2, objective: 'recovery' },
    }),
    registry,
    runningCalls,
    histograms: createHistograms(),
    logger: silentLogger,
    configuration: () => configuration,
    downstreamShedLevel: () => 0,
    runAtMostOnce: async () => Err(createFailure(ResultCode.notHome, 'not used')),
  });
  const headers = {
    [CallHeader.root]: 'root',
    [CallHeader.caller]: 'agent',
    [CallHeader.importance]: 'critical',
    [CallHeader.deadline]: '500',
    [CallHeader.tokens]: '0',
  };
  const handle = (signal = new AbortController().signal) =>
    guard.handle({ call: policy.name, headers, body: Buffer.alloc(0) }, signal);
  return { handle, runningCalls };
}

const responseOf = (status: number, headers = {}): CallResponse => ({
  status,
  headers,
  body: Buffer.from('{}'),
});

// A target whose connection is lost may still make child calls; without cancellation they would run
// for a call that has already failed.
test('child calls of a running call are cancelled when the connection to the target is lost', async () => {
  let running: RunningCall | undefined;
  const { handle, runningCalls } = createTestGuard(async (request) => {
    running = runningCalls.find(request.headers[CallHeader.parent] ?? '');
    assert.equal(running?.signal.aborted, false);
    return Err(createFailure(ResultCode.unknownConnectionLost, 'the connection was reset'));
  });
  assert.equal(resultCodeOf(await handle()), ResultCode.unknownConnectionLost);
  assert.equal(running?.signal.aborted, true);
  assert.equal(runningCalls.count(), 0);
});

test('child calls of a running call are cancelled when the caller disconnects', async () => {
  const caller = new AbortController();
  const { handle, runningCalls } = createTestGuard(async (request) => {
    const running = runningCalls.find(request.headers[CallHeader.parent] ?? '');
    caller.abort();
    assert.equal(running?.signal.aborted, true);
    return Err(createFailure(ResultCode.unknownCancelled, 'cancelled'));
  });
  await handle(caller.signal);
});

// A target may forward the response headers of a child call that was not run, as its own response.
test('protocol headers in a response of the target are replaced by the daemon', async () => {
  const { handle } = createTestGuard(async () =>
    Ok(responseOf(502, { [CallHeader.code]: '1005', [CallHeader.tokensLeft]: '9' })),
  );
  const response = await handle();
  assert.equal(resultCodeOf(response), ResultCode.ok);
  assert.equal(response.headers[CallHeader.tokensLeft], '0');
});

// A slow target that sends no interim responses must not be taken for an unresponsive one.
test('the idle timeout applies only to a target that announced interim responses', async () => {
  for (const interimAnswers of [true, false]) {
    const idleTimeouts: (number | undefined)[] = [];
    const { handle } = createTestGuard(async (_request, { idleTimeoutMs }) => {
      idleTimeouts.push(idleTimeoutMs);
      return Ok(responseOf(200));
    }, interimAnswers);
    await handle();
    assert.deepEqual(idleTimeouts, [interimAnswers ? INTERIM_TIMEOUT_MS : undefined]);
  }
});

function createTestGateway(respond: Responder) {
  const clock = new ManualClock();
  const member: Member = {
    incarnation: uuidv7(),
    version: 1,
    host: 'consents-0',
    dataCentre: 'perth',
    service: 'consents',
    state: 'serving',
    address: '127.0.0.1',
    callPort: 1,
    peerPort: 1,
    homes: [],
  };
  return createGateway({
    clock,
    random: createSeededRandom(1),
    transport: new StubTransport(respond),
    router: {
      choose: () => Ok(member),
      begin: () => undefined,
      end: () => undefined,
      recordResponse: () => undefined,
      recordFailure: () => undefined,
    },
    retryBudget: new RetryBudget(clock),
    histograms: createHistograms(),
    logger: silentLogger,
    originOf: createCallOrigins({
      clock,
      configuration: () => configuration,
      runningCalls: createRunningCalls(),
    }),
  });
}

test('a response without a result code, which no daemon sent, is reported as internal', async () => {
  const gateway = createTestGateway(async () => Ok(responseOf(200)));
  const request = { call: policy.name, headers: {}, body: Buffer.alloc(0) };
  const response = await gateway.call(request, new AbortController().signal);
  assert.equal(resultCodeOf(response), ResultCode.internal);
});

test('a body larger than the configured limit is rejected before a request is sent', async () => {
  const gateway = createTestGateway(async () => assert.fail('no request must be sent'));
  const request = { call: policy.name, headers: {}, body: Buffer.alloc(MAX_BODY_BYTES + 1) };
  const response = await gateway.call(request, new AbortController().signal);
  assert.equal(resultCodeOf(response), ResultCode.badBodyTooLarge);
});

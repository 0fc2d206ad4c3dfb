import type { CallAnswer } from '../calls/call.js';
import type { Importance } from '../configuration/configuration.js';
import type { Clock } from '../runtime/clock.js';
import type { Counters } from '../observability/counters.js';
import type { KnownTarget } from '../directory/targetDirectory.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import type { Histograms } from '../observability/histograms.js';
import type { Logger } from '../observability/logger.js';
import type { TargetPlacement } from '../placement/targetPlacement.js';
import type { RandomSource } from '../runtime/random.js';
import { ResultCode, httpStatusOf, isNotRun } from '../runtime/resultCode.js';
import type { RetryBudget } from '../attempts/retryBudget.js';
import type { InnerFailures } from '../placement/innerFailures.js';
import type { RouteLevels } from '../placement/routeLevels.js';
import type { RoutingKeeper } from '../routes/routingKeeper.js';
import type { ForwardedRequest } from './forwardedRequest.js';
import { attemptIdOf } from './hopMessages.js';
import type { HopAnswer, HopEnd, HopRequest } from './hopMessages.js';
import type { HopSender } from './hopSender.js';
import { Passage } from './passage.js';
import type { AttemptEnd } from './passage.js';
import type { RequestTrees } from './requestTrees.js';
import { retryAfterMs } from './retryAfter.js';

/** Daemons that may be asked for one request; refusals by a daemon cost its target nothing. */
const MAX_HOPS = 8;
/** Daemons that are asked when they shed the request; more for a tree that has begun. */
const MAX_SHED_HOPS = 2;
const MAX_INNER_SHED_HOPS = 3;
/**
 * Part of the retry budget that requests of each importance may use. A service that refuses half
 * of what comes serves trees of several calls only where most of the budget goes to few of them.
 */
const RETRY_SHARES: Record<Importance, number> = { critical: 1, high: 0.5, normal: 0.2, low: 0.2 };
/** Wait that a daemon without a configuration tells its callers, in milliseconds. */
const NO_CONFIGURATION_RETRY_MS = 500;
/** Wait that a closing daemon tells its callers, in milliseconds; another one answers. */
const CLOSING_RETRY_MS = 50;
/** A further attempt needs at least this much time, in milliseconds. */
const MIN_ATTEMPT_MS = 20;
const MS_PER_S = 1000;

/** Takes in requests of callers and of the target on this host, and has a target run them. */
export interface RequestGateway {
  /** One whole answer. Never rejects. */
  forward(request: ForwardedRequest, signal: AbortSignal): Promise<CallAnswer>;
  /** Requests under way. */
  active(): number;
}

/** What a gateway needs. */
export interface RequestGatewayOptions {
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  histograms: Histograms;
  counters: Counters;
  routing: RoutingKeeper;
  placement: TargetPlacement;
  levels: RouteLevels;
  failures: InnerFailures;
  trees: RequestTrees;
  sender: HopSender;
  retryBudget: RetryBudget;
  /** What requests to other daemons tell of this one. */
  own: HopEnd;
  /** True once nothing new is begun; calls of trees that have begun go on. */
  isClosing: () => boolean;
  /** Called with the version that another daemon has in force. */
  onPeerVersion: (version: number, target: KnownTarget) => void;
}

/** Makes a gateway. */
export function createRequestGateway(options: RequestGatewayOptions): RequestGateway {
  const { clock, placement, levels, sender, routing, logger } = options;
  let active = 0;
  let lastAttempt = 0;

  function failureAnswer(
    failure: Failure,
    retryMs: number | undefined,
    status = httpStatusOf(failure.code),
  ): CallAnswer {
    const headers: CallAnswer['headers'] = { 'content-type': 'application/json' };
    if (retryMs !== undefined) headers['retry-after'] = (retryMs / MS_PER_S).toFixed(3);
    return { status, headers, body: Buffer.from(JSON.stringify(failure)) };
  }

  function hopRequestOf(passage: Passage, target: KnownTarget, remainingMs: number): HopRequest {
    const { request, route } = passage;
    lastAttempt += 1;
    return {
      attemptId: attemptIdOf(options.own, lastAttempt),
      callerId: request.id,
      method: request.method,
      url: request.url,
      host: request.host,
      headers: request.headers,
      body: request.body,
      remainingMs,
      callerService: options.own.service,
      importance: passage.importance,
      rootId: passage.rootId,
      isInner: passage.isInner,
      route: route.name,
      service: passage.service,
      incarnation: placement.incarnationOf(target),
      configurationVersion: routing.version(),
      peerPort: options.own.peerPort,
    };
  }

  function noteHop(passage: Passage, target: KnownTarget, hop: HopAnswer): void {
    placement.noteAnswer(target, hop);
    levels.learn(passage.route.name, target.key, hop.shedLevel);
    if (hop.code === ResultCode.notRunDraining) placement.noteLeaving(target);
    if (hop.configurationVersion > routing.version()) {
      options.onPeerVersion(hop.configurationVersion, target);
    }
  }

  /** A lost attempt is not run if the daemon beside the target can promise never to begin it. */
  async function settleLost(
    passage: Passage,
    target: KnownTarget,
    hopRequest: HopRequest,
    failure: Failure,
  ): Promise<AttemptEnd> {
    const outcome = passage.signal.aborted ? 'unknown' : await sender.void(target, hopRequest);
    logger.log('info', 'attempt was lost', {
      request: passage.request.id,
      attempt: hopRequest.attemptId,
      target: target.record.targetId,
      reason: failure.message,
      void: outcome,
    });
    if (outcome === 'voided') {
      const message = `the attempt was lost and voided: ${failure.message}`;
      return { code: ResultCode.notRunConnect, message, reached: false, answer: undefined };
    }
    return { code: failure.code, message: failure.message, reached: true, answer: undefined };
  }

  async function attempt(passage: Passage, target: KnownTarget): Promise<AttemptEnd> {
    const remainingMs = Math.floor(passage.deadlineAt - clock.now());
    const hopRequest = hopRequestOf(passage, target, remainingMs);
    placement.begin(target);
    const sent = await sender.send(target, hopRequest, passage.signal);
    placement.end(target);
    if (sent.isOk()) {
      const hop = sent.value;
      noteHop(passage, target, hop);
      const answer = hop.code === ResultCode.ok ? hop.answer : undefined;
      return { code: hop.code, message: hop.message, reached: hop.reached, answer };
    }
    const { code, message } = sent.error;
    if (isNotRun(code)) {
      if (code === ResultCode.notRunConnect) placement.noteUnreachable(target);
      return { code, message, reached: false, answer: undefined };
    }
    if (code === ResultCode.unknownTimeout) {
      return { code, message, reached: true, answer: undefined };
    }
    return settleLost(passage, target, hopRequest, sent.error);
  }

  /** Sending to a second target costs a further attempt and a share of the budget. */
  function takeRepeat(passage: Passage): boolean {
    if (passage.attempts >= passage.route.maxAttempts) return false;
    return options.retryBudget.tryRetry(passage.service, RETRY_SHARES[passage.importance]);
  }

  /** True when another target may be tried after this end. */
  function mayGoOn(passage: Passage, end: AttemptEnd): boolean {
    if (passage.signal.aborted || passage.hops >= MAX_HOPS) return false;
    if (clock.now() + MIN_ATTEMPT_MS >= passage.deadlineAt) return false;
    if (end.code === ResultCode.notRunDeadline) return false;
    const repeatable = passage.route.execution === 'repeatable';
    if (end.answer) {
      // A tree is repeated at its root only, or each level would repeat the work of all below it;
      // and a target that fails because its calls were shed fails again.
      const isRepeated = repeatable && end.answer.status >= 500 && !passage.isInner;
      return isRepeated && levels.below(passage.route.name) === 0 && takeRepeat(passage);
    }
    if (!isNotRun(end.code) && !repeatable) return false;
    if (end.code === ResultCode.notRunShed || end.code === ResultCode.notRunQueueTimeout) {
      // Overload is seldom that of one target: asking them all would add to it.
      return passage.hops < (passage.isInner ? MAX_INNER_SHED_HOPS : MAX_SHED_HOPS);
    }
    return !end.reached || takeRepeat(passage);
  }

  /** Requests at the root are sent only where they would not be shed; calls below one always. */
  function chooseTarget(passage: Passage): KnownTarget | undefined {
    const { service, tried, route, place, isInner } = passage;
    return placement.choose(
      service,
      tried,
      (key) => !isInner && levels.refuses(route.name, key, place),
    );
  }

  function whyNoTarget(passage: Passage): AttemptEnd {
    const isKnown = placement.knows(passage.service);
    return {
      code: isKnown ? ResultCode.notRunShed : ResultCode.notRunNoTarget,
      message: isKnown
        ? `every target of ${passage.service} sheds ${passage.importance} requests`
        : `no target of ${passage.service} is known`,
      reached: false,
      answer: undefined,
    };
  }

  /** The end of the last attempt, or a target's answer to an earlier one where that got none. */
  async function makeAttempts(passage: Passage): Promise<AttemptEnd> {
    let last = whyNoTarget(passage);
    let answered: AttemptEnd | undefined;
    for (;;) {
      let target = chooseTarget(passage);
      if (!target && last.reached && isNotRun(last.code)) {
        passage.startAnotherRound();
        target = chooseTarget(passage);
      }
      if (!target) return answered ?? last;
      passage.recordHop(target.key);
      last = await attempt(passage, target);
      passage.recordEnd(last);
      if (last.answer) answered = last;
      if (last.answer && last.answer.status < 500) return last;
      if (!mayGoOn(passage, last)) return answered ?? last;
    }
  }

  function answerOf(passage: Passage, end: AttemptEnd): CallAnswer {
    if (end.answer) return end.answer;
    const failure = createFailure(end.code, end.message);
    if (!isNotRun(end.code) || passage.mayHaveRun) {
      const status = end.code === ResultCode.unknownTimeout ? 504 : 502;
      return failureAnswer(failure, undefined, status);
    }
    const remainingMs = passage.deadlineAt - clock.now();
    const retryMs = retryAfterMs(remainingMs, passage.route.rank, options.random);
    return failureAnswer(failure, retryMs, 503);
  }

  function logEnd(passage: Passage, end: AttemptEnd, status: number): void {
    const isPlain = end.code === ResultCode.ok && status < 500 && passage.hops === 1;
    logger.log(isPlain ? 'debug' : 'info', 'request ended', {
      request: passage.request.id,
      route: passage.route.name,
      service: passage.service,
      configuration: routing.version(),
      code: end.code,
      reason: end.message,
      status,
      hops: passage.hops,
      attempts: passage.attempts,
      tookMs: Math.round(clock.now() - passage.arrivedAt),
    });
  }

  async function pass(passage: Passage): Promise<CallAnswer> {
    const { service, arrivedAt, route } = passage;
    options.retryBudget.recordCall(service);
    const end = await makeAttempts(passage);
    if (passage.isInner) {
      options.failures.record(route.name, passage.importance, isNotRun(end.code));
    }
    const answer = answerOf(passage, end);
    options.histograms.record({
      importance: passage.importance,
      caller: route.name,
      latencyMs: clock.now() - arrivedAt,
      attempts: passage.attempts,
    });
    options.counters.increment('requests_total', String(answer.status));
    options.counters.increment('request_ends_total', String(end.code));
    logEnd(passage, end, answer.status);
    return answer;
  }

  function refuse(request: ForwardedRequest, failure: Failure, retryMs?: number): CallAnswer {
    logger.log('info', 'request refused', {
      request: request.id,
      host: request.host,
      url: request.url,
      configuration: routing.version(),
      code: failure.code,
      reason: failure.message,
    });
    const answer = failureAnswer(failure, retryMs);
    options.counters.increment('requests_total', String(answer.status));
    return answer;
  }

  async function admit(request: ForwardedRequest, signal: AbortSignal): Promise<CallAnswer> {
    if (!routing.current()) {
      const failure = createFailure(ResultCode.notRunNoTarget, 'no configuration is known yet');
      return refuse(request, failure, NO_CONFIGURATION_RETRY_MS);
    }
    if (request.id === '') {
      return refuse(request, createFailure(ResultCode.badHeader, 'the request carries no id'));
    }
    const path = request.url.split('?', 1)[0] as string;
    const found = routing.match(request.host, path);
    if (!found) {
      const message = `no route for ${request.host}${path}`;
      return refuse(request, createFailure(ResultCode.badUnknownCall, message));
    }
    const service = routing.serviceFor(found);
    if (service === undefined) {
      const message = `route ${found.name} has no service with weight`;
      return refuse(request, createFailure(ResultCode.notRunNoTarget, message));
    }
    const tree = options.trees.join(request.parentId, found.name);
    if (!tree && options.isClosing()) {
      const failure = createFailure(ResultCode.notRunDraining, 'the daemon stops; send it again');
      return refuse(request, failure, CLOSING_RETRY_MS);
    }
    return pass(new Passage(request, found, service, signal, clock.now(), tree));
  }

  return {
    forward: async (request, signal) => {
      active += 1;
      try {
        return await admit(request, signal);
      } finally {
        active -= 1;
      }
    },
    active: () => active,
  };
}

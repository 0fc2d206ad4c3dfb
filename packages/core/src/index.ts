export { systemClock } from './clock.js';
export type { Clock, Timer } from './clock.js';
export { ManualClock } from './manualClock.js';
export { createSeededRandom, systemRandom } from './random.js';
export type { RandomSource } from './random.js';
export {
  ResultCode,
  httpStatusOf,
  isNotRun,
  isOutcomeUnknown,
  resultNameOf,
} from './resultCode.js';
export type { ResultName, ResultNumber } from './resultCode.js';
export { createFailure } from './failure.js';
export type { Failure } from './failure.js';
export { importances } from './configuration.js';
export type {
  CallPolicy,
  Configuration,
  Execution,
  Importance,
  LimitKind,
  Objective,
  ServicePolicy,
} from './configuration.js';
export { CallHeader } from './callHeaders.js';
export type { Directory, Member, ShardClaim, TargetState } from './member.js';
export type {
  Admission,
  AdmissionLoad,
  AdmissionRequest,
  AdmissionSettings,
  Outcome,
  Permit,
} from './admission.js';
export { Store } from './store.js';
export type { StoreEntry, SwapOutcome, Watch } from './store.js';
export { PeerServer } from './peerServer.js';
export { RpcPeerCaller } from './peerCaller.js';
export type { PeerAddress, PeerCaller, PeerMethod, PeerMethods } from './peer.js';
export { BodyTooLargeError, closeHttp, listenHttp, readBody } from './httpServer.js';
export type { HttpAnswer, HttpHandler, HttpMessage, ListeningServer } from './httpServer.js';
export { CallTransport } from './call.js';
export type { CallAnswer, CallHeaders, CallRequest, Endpoint, SendBounds } from './call.js';
export { createLogger, silentLogger } from './logger.js';
export type { LogFields, Logger, LogLevel } from './logger.js';
export { ControlMethod } from './control.js';
export type { DaemonStatus, HistogramMeasure, HistogramRow } from './control.js';
export { AttemptAllowance, MAX_ATTEMPT_TOKENS, parseTokens } from './attemptAllowance.js';
export { RETRY_RATIO, RetryBudget, SPARE_RETRIES } from './retryBudget.js';
export { backoffMs } from './backoff.js';
export { mayRetry } from './retryDecision.js';
export type { RetryCase } from './retryDecision.js';
export {
  HOP_COST_MS,
  MAX_DEADLINE_MS,
  deadlineAt,
  parseDeadlineMs,
  remainingForHopMs,
} from './deadline.js';

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
export { Err, Ok } from 'ts-results-es';
export type { Result } from 'ts-results-es';
export { createSupervisor } from './supervisor.js';
export type { Part, Supervisor, SupervisorOptions } from './supervisor.js';
export { createHistograms } from './histograms.js';
export type { CallRecord, Histograms } from './histograms.js';
export { createTargetLifecycle } from './targetLifecycle.js';
export type { TargetEvent, TargetLifecycle } from './targetLifecycle.js';
export { ANNOUNCEMENT_RENEWAL_MS, createTargetRegistry } from './targetRegistry.js';
export type { Announcement, TargetRegistry, TargetRegistryOptions } from './targetRegistry.js';
export { decodeHop, encodeHop } from './callContext.js';
export type { CallContext, HopContext } from './callContext.js';
export { answerOfFailure, codeOfAnswer, passedHeaders } from './callAnswer.js';
export { createRunningCalls } from './runningCalls.js';
export type { RunningCall, RunningCalls } from './runningCalls.js';
export { createTargetChooser } from './targetChooser.js';
export type { TargetChooser, TargetChooserOptions } from './targetChooser.js';
export { createTargetRouter } from './targetRouter.js';
export type { TargetRouter, TargetRouterOptions } from './targetRouter.js';
export { createCallOrigins } from './callOrigin.js';
export type { CallOrigin, CallOriginOptions } from './callOrigin.js';
export { createGateway } from './gateway.js';
export type { Gateway, GatewayOptions } from './gateway.js';
export { createGuard } from './guard.js';
export type { Guard, GuardOptions, OneShotRunner } from './guard.js';
export { MemoryDatabase } from './memoryDatabase.js';
export type { StoreChange } from './memoryDatabase.js';
export { MemoryStore } from './memoryStore.js';
export type { LostWriteEffect, StoreCounts } from './memoryStore.js';
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
export { createDirectoryClient } from './directoryClient.js';
export type { DirectoryClient, DirectoryClientOptions } from './directoryClient.js';
export { DIRECTORY_VIEW_METHOD, serveDirectoryViews } from './directoryView.js';
export type { DirectoryQuery, DirectoryView } from './directoryView.js';
export { createEmbeddedCaller } from './embeddedCaller.js';
export type { CallOptions, EmbeddedCaller, EmbeddedCallerOptions } from './embeddedCaller.js';
export { AimdLimit } from './aimdLimit.js';
export { AdaptiveLimit } from './adaptiveLimit.js';
export type { LatencyRound, LimitBounds } from './adaptiveLimit.js';
export { createCallerShedding } from './callerShedding.js';
export type { CallerShedding } from './callerShedding.js';
export { ConcurrencyLimit } from './concurrencyLimit.js';
export type { LimitSample } from './concurrencyLimit.js';
export { FixedLimit } from './fixedLimit.js';
export { GradientLimit } from './gradientLimit.js';
export { PLACE_COUNT, placeOf } from './shedLevel.js';
export { createAdmission } from './targetAdmission.js';
export type { AdaptiveLimitFactory, AdmissionParts } from './targetAdmission.js';
export { UnlimitedLimit } from './unlimitedLimit.js';
export { VegasLimit } from './vegasLimit.js';
export { decodeBase64, encodeBase64, prefixEnd } from './etcdMessages.js';
export type {
  EtcdCompare,
  EtcdEvent,
  EtcdHeader,
  EtcdKeyValue,
  EtcdLeaseGrantRequest,
  EtcdLeaseKeepAliveRequest,
  EtcdLeaseResponse,
  EtcdOperation,
  EtcdRangeRequest,
  EtcdRangeResponse,
  EtcdStreamed,
  EtcdTransactionRequest,
  EtcdTransactionResponse,
  EtcdWatchRequest,
  EtcdWatchResponse,
} from './etcdMessages.js';
export { createMembership } from './membership.js';
export type { Membership, MembershipOptions } from './membership.js';
export type { MemberChange } from './memberRecords.js';
export type { Carried } from './membershipContext.js';
export { rendezvous, rendezvousScore } from './hash.js';
export { deriveKey, mintKey, readKey, shardOf, timeOfKey } from './idempotencyKey.js';
export { createOneShot, settleNotHome } from './oneShot.js';
export type { OneShot, OneShotOptions, ShardStatus } from './oneShot.js';
export { defaultOneShotTiming } from './oneShotTiming.js';
export type { OneShotTiming } from './oneShotTiming.js';
export { AnswerTable, defaultAnswerTableLimits } from './answerTable.js';
export type { AnswerTableLimits, CallOutcome } from './answerTable.js';
export { ShardHome, createShardHome } from './shardHome.js';
export type { Execute, ExecutionBounds, ShardHomeFactory, ShardHomeOptions } from './shardHome.js';
export { ShardDeputy, createShardDeputy } from './shardDeputy.js';
export type { ShardDeputyFactory } from './shardDeputy.js';
export { ShardRecords } from './shardRecord.js';
export type { Holder, ShardRecord, ShardState } from './shardRecord.js';
export { createHomeLocator } from './homeLocator.js';
export type { HomeLocator } from './homeLocator.js';
export { sleepByTimer } from './timerSleep.js';
export { leavingAudience } from './leavingAudience.js';
export { chooseTargetSubset, createTargetSubsets, defaultSubsetSize } from './targetSubset.js';
export type { CallingHost, SubsetSize, TargetSubsets } from './targetSubset.js';
export { createConfigurationKeeper } from './configurationKeeper.js';
export type { ConfigurationKeeper, ConfigurationKeeperOptions } from './configurationKeeper.js';
export { createBootstrapKeeper, readBootstrapAddresses } from './bootstrapAddresses.js';
export type { BootstrapKeeper, BootstrapKeeperOptions } from './bootstrapAddresses.js';
export { BOOTSTRAP_PREFIX, CONFIGURATION_KEY, bootstrapKey } from './storeKeys.js';
export { HttpCallTransport, defaultConnectionBounds } from './httpCallTransport.js';
export type { HttpTransportSettings } from './httpCallTransport.js';
export type { ConnectionBounds, ConnectionCounts } from './endpointConnections.js';
export { INTERIM_INTERVAL_MS, MAX_SILENCE_MS, startInterimAnswers } from './interimAnswers.js';
export type { InterimAnswers } from './interimAnswers.js';
export { EtcdStore } from './etcdStore.js';
export { MembershipMethod, peerAddressOf } from './membershipContext.js';
export { applyConfigurationDelta, createConfigurationDelta } from './configurationDelta.js';
export type { ConfigurationDelta } from './configurationDelta.js';
export type { EtcdStoreOptions } from './etcdStore.js';
export { createLevelBelow } from './levelBelow.js';
export type { LevelBelowOptions } from './levelBelow.js';
export { readAnswers } from './answers.js';
export type { Answers, CallAnswers, ServiceAnswers } from './answers.js';
export { generateConfiguration } from './generate.js';
export { differenceOf, textOfChange } from './difference.js';
export type { Change } from './difference.js';
export { explainCall, shedOrderOf } from './explain.js';
export type { Explanation, RootCall, ShedStep } from './explain.js';
export { readSettings } from './settings.js';
export type { Settings } from './settings.js';
export type { YamlSource } from './yamlDocument.js';
export { applyConfiguration } from './applyChange.js';
export type { ApplyOptions, ApplyOutcome } from './applyChange.js';
export { HISTORY_KEPT, readAccepted, readHistory } from './revisions.js';
export type { AcceptedRevision } from './revisions.js';
export { ShardKeeper } from './shardKeeper.js';
export type { ShardKeeperOptions } from './shardContext.js';
export { readInstant } from './oneShotTiming.js';
export type { Instant } from './oneShotTiming.js';
export { reassignShard } from './reassignShard.js';
export type { Reassignment } from './reassignShard.js';
export { decodeConfiguration, encodeConfiguration } from './configurationValue.js';
export { RUMOUR_TRANSMISSIONS, RumourQueue } from './rumourQueue.js';
export type { MemberNews } from './memberNews.js';
export { ConfigurationMethod } from './configurationKeeper.js';
export { createCallRouting } from './callRouting.js';
export type { CallRouting, CallRoutingOptions } from './callRouting.js';
export type {
  IngressLimits,
  Route,
  RouteShare,
  RoutedService,
  RoutingConfiguration,
} from './routes/route.js';
export { RouteTable } from './routes/routeTable.js';
export { WeightedSplit } from './routes/weightedSplit.js';
export { RoutingKeeper } from './routes/routingKeeper.js';
export { TARGETS_PREFIX, TargetDirectory } from './directory/targetDirectory.js';
export type { KnownTarget } from './directory/targetDirectory.js';
export type { TargetRecord } from './directory/targetRecord.js';
export { LocalTarget } from './directory/localTarget.js';
export type { LocalTargetState, TargetHeartbeat } from './directory/localTarget.js';
export { TargetAnnouncer } from './directory/targetAnnouncer.js';
export { Counters } from './counters.js';
export { metricsText } from './metricsText.js';
export { PeerExchange } from './directory/peerExchange.js';
export { createBoundedLogger } from './boundedLogger.js';
export { HeaderDialect } from './forwarding/forwardedRequest.js';
export type {
  AnswerVerdict,
  CallerFields,
  ForwardedRequest,
  TargetEnvelope,
} from './forwarding/forwardedRequest.js';
export { HopClient } from './forwarding/hopClient.js';
export { HopServer } from './forwarding/hopServer.js';
export type { HopAnswer, HopRequest, TargetLoad } from './forwarding/hopMessages.js';
export { AttemptRegister } from './forwarding/attemptRegister.js';
export type { VoidOutcome } from './forwarding/attemptRegister.js';
export { createTargetGuard } from './forwarding/targetGuard.js';
export type { TargetGuard } from './forwarding/targetGuard.js';
export { VOID_METHOD, createHopSender } from './forwarding/hopSender.js';
export type { HopSender, VoidParams } from './forwarding/hopSender.js';
export { createRequestGateway } from './forwarding/requestGateway.js';
export type { RequestGateway } from './forwarding/requestGateway.js';
export { retryAfterMs } from './forwarding/retryAfter.js';
export { RequestTrees } from './forwarding/requestTrees.js';
export { InnerFailures } from './placement/innerFailures.js';
export { RouteLevels } from './placement/routeLevels.js';
export { TargetPlacement } from './placement/targetPlacement.js';
export { endToEndHeaders } from './endToEndHeaders.js';
export { mapping, readYaml } from './yamlDocument.js';

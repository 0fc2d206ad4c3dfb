export { systemClock } from './runtime/clock.js';
export type { Clock, Timer } from './runtime/clock.js';
export { ManualClock } from './runtime/manualClock.js';
export { createSeededRandom, systemRandom } from './runtime/random.js';
export type { RandomSource } from './runtime/random.js';
export {
  ResultCode,
  httpStatusOf,
  isNotRun,
  isOutcomeUnknown,
  resultNameOf,
} from './runtime/resultCode.js';
export type { ResultName, ResultNumber } from './runtime/resultCode.js';
export { createFailure } from './runtime/failure.js';
export type { Failure } from './runtime/failure.js';
export { importances } from './configuration/configuration.js';
export type {
  CallPolicy,
  Configuration,
  Execution,
  Importance,
  LimitKind,
  Objective,
  ServicePolicy,
} from './configuration/configuration.js';
export { CallHeader } from './calls/callHeaders.js';
export type { Directory, Member, ShardClaim, TargetState } from './membership/member.js';
export type {
  Admission,
  AdmissionLoad,
  AdmissionRequest,
  AdmissionSettings,
  Outcome,
  Permit,
} from './admission/admission.js';
export { Store } from './store/store.js';
export type { StoreEntry, SwapOutcome, Watch, WatchUrgency } from './store/store.js';
export { PeerServer } from './peers/peerServer.js';
export { RpcPeerCaller } from './peers/peerCaller.js';
export type { PeerAddress, PeerCaller, PeerMethod, PeerMethods } from './peers/peer.js';
export { BodyTooLargeError } from './http/bodyTooLargeError.js';
export { closeHttp, listenHttp, readBody, startHttpServer } from './http/httpServer.js';
export { createHeldBytes } from './http/heldBytes.js';
export type { HeldBytes } from './http/heldBytes.js';
export type { HttpResponse, HttpHandler, HttpRequest, ListeningServer } from './http/httpServer.js';
export { CallTransport } from './calls/call.js';
export type { CallResponse, CallHeaders, CallRequest, Endpoint, SendBounds } from './calls/call.js';
export { createLogger, silentLogger } from './observability/logger.js';
export type { LogFields, Logger, LogLevel } from './observability/logger.js';
export { ControlMethod } from './observability/control.js';
export type { DaemonStatus, HistogramMeasure, HistogramRow } from './observability/control.js';
export { Err, Ok } from 'ts-results-es';
export type { Result } from 'ts-results-es';
export { createSupervisor } from './runtime/supervisor.js';
export type { SupervisedPart, Supervisor, SupervisorOptions } from './runtime/supervisor.js';
export { createHistograms } from './observability/histograms.js';
export type { CallRecord, Histograms } from './observability/histograms.js';
export { createTargetLifecycle } from './membership/targetLifecycle.js';
export type { TargetEvent, TargetLifecycle } from './membership/targetLifecycle.js';
export { ANNOUNCEMENT_RENEWAL_MS, createTargetRegistry } from './membership/targetRegistry.js';
export type {
  Announcement,
  TargetRegistry,
  TargetRegistryOptions,
} from './membership/targetRegistry.js';
export { decodeHop, encodeHop } from './calls/callContext.js';
export type { CallContext, HopContext } from './calls/callContext.js';
export { failureResponse, resultCodeOf, forwardedHeaders } from './calls/callResponse.js';
export { createRunningCalls } from './calls/runningCalls.js';
export type { RunningCall, RunningCalls } from './calls/runningCalls.js';
export { createTargetChooser } from './membership/targetChooser.js';
export type { TargetChooser, TargetChooserOptions } from './membership/targetChooser.js';
export { createTargetRouter } from './membership/targetRouter.js';
export type { TargetRouter, TargetRouterOptions } from './membership/targetRouter.js';
export { createCallOrigins } from './calls/callOrigin.js';
export type { CallOrigin, CallOriginOptions } from './calls/callOrigin.js';
export { createGateway } from './calls/gateway.js';
export type { Gateway, GatewayOptions } from './calls/gateway.js';
export { createGuard } from './calls/guard.js';
export type { Guard, GuardOptions, AtMostOnceRunner } from './calls/guard.js';
export { MemoryDatabase } from './store/memoryDatabase.js';
export type { StoreChange } from './store/memoryDatabase.js';
export { MemoryStore } from './store/memoryStore.js';
export type { LostWriteEffect, StoreCounts } from './store/memoryStore.js';
export { AttemptAllowance, MAX_ATTEMPT_TOKENS, parseTokens } from './attempts/attemptAllowance.js';
export { RETRY_RATIO, RetryBudget, SPARE_RETRIES } from './attempts/retryBudget.js';
export { backoffMs } from './attempts/backoff.js';
export { isRetryable } from './attempts/retryDecision.js';
export type { RetryCandidate } from './attempts/retryDecision.js';
export {
  HOP_RESERVE_MS,
  MAX_DEADLINE_MS,
  deadlineAt,
  parseDeadlineMs,
  remainingForHopMs,
} from './calls/deadline.js';
export { createDirectoryClient } from './membership/directoryClient.js';
export type { DirectoryClient, DirectoryClientOptions } from './membership/directoryClient.js';
export { DIRECTORY_VIEW_METHOD, serveDirectoryViews } from './membership/directoryView.js';
export type { DirectoryQuery, DirectoryView } from './membership/directoryView.js';
export { createEmbeddedCaller } from './calls/embeddedCaller.js';
export type { CallOptions, EmbeddedCaller, EmbeddedCallerOptions } from './calls/embeddedCaller.js';
export { AimdLimit } from './admission/aimdLimit.js';
export { AdaptiveLimit } from './admission/adaptiveLimit.js';
export type { LatencyRound, LimitBounds } from './admission/adaptiveLimit.js';
export { createCallerShedding } from './admission/callerShedding.js';
export type { CallerShedding } from './admission/callerShedding.js';
export { ConcurrencyLimit } from './admission/concurrencyLimit.js';
export type { LimitSample } from './admission/concurrencyLimit.js';
export { FixedLimit } from './admission/fixedLimit.js';
export { GradientLimit } from './admission/gradientLimit.js';
export { PRIORITY_COUNT, priorityOf } from './admission/shedLevel.js';
export { createAdmission } from './admission/targetAdmission.js';
export type { AdaptiveLimitFactory, AdmissionOptions } from './admission/targetAdmission.js';
export { UnlimitedLimit } from './admission/unlimitedLimit.js';
export { VegasLimit } from './admission/vegasLimit.js';
export { decodeBase64, encodeBase64, prefixEnd } from './store/etcdMessages.js';
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
} from './store/etcdMessages.js';
export { createMembership } from './membership/membership.js';
export type { Membership, MembershipOptions } from './membership/membership.js';
export type { MemberChange } from './membership/memberRecords.js';
export type { PiggybackedValue } from './membership/membershipContext.js';
export { rendezvous, rendezvousScore } from './runtime/hash.js';
export { deriveKey, mintKey, parseKey, shardOf, timeOfKey } from './calls/idempotencyKey.js';
export { createAtMostOnceExecutor, callerFailureOf } from './atMostOnce/atMostOnceExecutor.js';
export type { AtMostOnceExecutor, ShardStatus } from './atMostOnce/atMostOnceExecutor.js';
export type { AtMostOnceOptions } from './atMostOnce/atMostOnceOptions.js';
export { defaultAtMostOnceTiming } from './atMostOnce/atMostOnceTiming.js';
export type { AtMostOnceTiming } from './atMostOnce/atMostOnceTiming.js';
export { OutcomeTable, defaultOutcomeTableLimits } from './atMostOnce/outcomeTable.js';
export type { OutcomeTableLimits, CallOutcome } from './atMostOnce/outcomeTable.js';
export { ShardHome, createShardHome } from './atMostOnce/shardHome.js';
export type {
  Execute,
  ExecutionBounds,
  ShardHomeFactory,
  ShardHomeOptions,
} from './atMostOnce/shardHome.js';
export { ShardDeputy, createShardDeputy } from './atMostOnce/shardDeputy.js';
export type { ShardDeputyFactory } from './atMostOnce/shardDeputy.js';
export { ShardRecords } from './atMostOnce/shardRecord.js';
export type { DaemonAddress, ShardRecord, ShardState } from './atMostOnce/shardRecord.js';
export { createHomeLocator } from './atMostOnce/homeLocator.js';
export type { HomeLocator } from './atMostOnce/homeLocator.js';
export { sleepWithTimer } from './runtime/timerSleep.js';
export { connectedMembers } from './membership/connectedMembers.js';
export {
  chooseTargetSubset,
  createTargetSubsets,
  defaultSubsetSize,
} from './membership/targetSubset.js';
export type { CallingHost, SubsetSize, TargetSubsets } from './membership/targetSubset.js';
export { createConfigurationManager } from './configuration/configurationManager.js';
export type {
  ConfigurationManager,
  ConfigurationManagerOptions,
} from './configuration/configurationManager.js';
export { createBootstrapManager, readBootstrapAddresses } from './membership/bootstrapAddresses.js';
export type { BootstrapManager, BootstrapManagerOptions } from './membership/bootstrapAddresses.js';
export { BOOTSTRAP_PREFIX, CONFIGURATION_KEY, bootstrapKey } from './store/storeKeys.js';
export { StorePacing } from './store/storePacing.js';
export { readText } from './http/readText.js';
export { HttpCallTransport, defaultConnectionBounds } from './http/httpCallTransport.js';
export type { HttpCallTransportOptions } from './http/httpCallTransport.js';
export type { ConnectionBounds, ConnectionCounts } from './http/endpointConnections.js';
export {
  INTERIM_INTERVAL_MS,
  INTERIM_TIMEOUT_MS,
  startInterimResponses,
} from './calls/interimResponses.js';
export type { InterimResponses } from './calls/interimResponses.js';
export { EtcdStore } from './store/etcdStore.js';
export { MembershipMethod, peerAddressOf } from './membership/membershipContext.js';
export {
  applyConfigurationDelta,
  createConfigurationDelta,
} from './configuration/configurationDelta.js';
export type { ConfigurationDelta } from './configuration/configurationDelta.js';
export type { EtcdStoreOptions } from './store/etcdStore.js';
export { createDownstreamShedLevel } from './admission/downstreamShedLevel.js';
export type { DownstreamShedLevelOptions } from './admission/downstreamShedLevel.js';
export { parseAnswers } from './configuration/answers.js';
export type { Answers, CallAnswers, ServiceAnswers } from './configuration/answersSchema.js';
export { generateConfiguration } from './configuration/generate.js';
export { differenceOf, textOfChange } from './configuration/difference.js';
export type { Change } from './configuration/difference.js';
export { explainCall, shedOrderOf } from './configuration/explain.js';
export type { Explanation, RootCall, ShedStep } from './configuration/explain.js';
export { parseSettings } from './configuration/settings.js';
export type { Settings } from './configuration/settings.js';
export type { YamlSource } from './configuration/yamlDocument.js';
export { applyConfiguration } from './configuration/applyChange.js';
export type { ApplyOptions, ApplyOutcome } from './configuration/applyChange.js';
export { MAX_ARCHIVED_REVISIONS, readAccepted, readHistory } from './configuration/revisions.js';
export type { AcceptedRevision } from './configuration/revisions.js';
export { ShardManager } from './atMostOnce/shardManager.js';
export type { ShardManagerOptions } from './atMostOnce/shardContext.js';
export { readClocks } from './runtime/clockReading.js';
export type { ClockReading } from './runtime/clockReading.js';
export { reassignShard } from './atMostOnce/reassignShard.js';
export type { Reassignment } from './atMostOnce/reassignShard.js';
export { decodeConfiguration, encodeConfiguration } from './configuration/configurationValue.js';
export { GOSSIP_TRANSMISSIONS, GossipQueue } from './membership/gossipQueue.js';
export type { MemberUpdate } from './membership/memberUpdate.js';
export { ConfigurationMethod } from './configuration/configurationManager.js';
export { createCallRouting } from './calls/callRouting.js';
export type { CallRouting, CallRoutingOptions } from './calls/callRouting.js';
export type {
  IngressLimits,
  Route,
  RouteShare,
  RoutedService,
  RoutingConfiguration,
} from './routes/route.js';
export { RouteTable } from './routes/routeTable.js';
export { WeightedSplit } from './routes/weightedSplit.js';
export { RoutingManager } from './routes/routingManager.js';
export { TARGET_KEY_PREFIX, TargetDirectory } from './directory/targetDirectory.js';
export type { KnownTarget } from './directory/targetDirectory.js';
export {
  parseTargetRecord,
  recordName,
  recordSlots,
  recordTime,
} from './directory/targetRecord.js';
export type { TargetRecord } from './directory/targetRecord.js';
export { LocalTarget } from './directory/localTarget.js';
export type { LocalTargetState, TargetHeartbeat } from './directory/localTarget.js';
export { TargetAnnouncer } from './directory/targetAnnouncer.js';
export { Counters } from './observability/counters.js';
export { metricsText } from './observability/metricsText.js';
export { PeerExchange } from './directory/peerExchange.js';
export { createBoundedLogger } from './observability/boundedLogger.js';
export { HeaderCodec } from './forwarding/forwardedRequest.js';
export type {
  ResponseClass,
  CallerFields,
  ForwardedRequest,
  TargetEnvelope,
  TargetNotice,
} from './forwarding/forwardedRequest.js';
export { HopClient } from './forwarding/hopClient.js';
export { HopServer } from './forwarding/hopServer.js';
export type { HopResponse, HopPeer, HopRequest, TargetLoad } from './forwarding/hopMessages.js';
export { LocalTargetNotices } from './forwarding/localTargetNotices.js';
export { AttemptRegistry } from './forwarding/attemptRegistry.js';
export type { VoidOutcome } from './forwarding/attemptRegistry.js';
export { RequestSuspicions } from './forwarding/requestSuspicions.js';
export type { SuspicionEvidence } from './forwarding/requestSuspicions.js';
export { createTargetEnds } from './forwarding/targetEnds.js';
export type { TargetEnds } from './forwarding/targetEnds.js';
export { createRequestGuard } from './forwarding/requestGuard.js';
export type { RequestGuard } from './forwarding/requestGuard.js';
export { VOID_METHOD, createHopSender } from './forwarding/hopSender.js';
export type { HopSender, VoidParams } from './forwarding/hopSender.js';
export { createRequestGateway } from './forwarding/requestGateway.js';
export type { RequestGateway, StopWindow } from './forwarding/requestGateway.js';
export { retryAfterMs } from './forwarding/retryAfter.js';
export { CallTrees } from './forwarding/callTrees.js';
export { ChildCallFailures } from './placement/childCallFailures.js';
export { RouteShedLevels } from './placement/routeShedLevels.js';
export { TargetPlacement } from './placement/targetPlacement.js';
export { headersWithout, isConnectionHeader } from './http/endToEndHeaders.js';
export { mapping, parseYaml } from './configuration/yamlDocument.js';

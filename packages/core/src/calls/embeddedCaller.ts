import type { CallResponse, CallHeaders, CallTransport } from './call.js';
import { CallHeader } from './callHeaders.js';
import { createCallOrigins } from './callOrigin.js';
import { createCallRouting } from './callRouting.js';
import type { Clock } from '../runtime/clock.js';
import { createDirectoryClient } from '../membership/directoryClient.js';
import type { DirectoryClient } from '../membership/directoryClient.js';
import { createGateway } from './gateway.js';
import { createHistograms } from '../observability/histograms.js';
import type { Histograms } from '../observability/histograms.js';
import { mintKey } from './idempotencyKey.js';
import type { Logger } from '../observability/logger.js';
import type { PeerAddress, PeerCaller } from '../peers/peer.js';
import type { RandomSource } from '../runtime/random.js';
import { RetryBudget } from '../attempts/retryBudget.js';
import { createRunningCalls } from './runningCalls.js';
import { createSupervisor } from '../runtime/supervisor.js';

const START_ATTEMPTS = 10;
const START_RETRY_MS = 200;

/** Settings of a caller that embeds the library. */
export interface EmbeddedCallerOptions {
  /** Name of the caller, by which calls of one importance are told apart. */
  name: string;
  dataCentre: string;
  /** Control addresses of a few daemons. */
  bootstrap: PeerAddress[];
  /** Services that it calls; all when empty. */
  services: string[];
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  transport: CallTransport;
  peers: PeerCaller;
}

/** What a caller may say with a call. */
export interface CallOptions {
  /** Key of a call that may run at most once: a UUIDv7, the same for each retry. */
  key?: string;
  /** How long the caller waits, in milliseconds; never longer than the configured deadline. */
  timeoutMs?: number;
  /** Aborts the call and everything below it. */
  signal?: AbortSignal;
  /** Further headers, passed to the target unchanged. */
  headers?: CallHeaders;
}

/** A caller that goes straight to the daemon of the chosen target. */
export interface EmbeddedCaller {
  /** Resolves when targets and configuration are known; rejects when no daemon answers. */
  start(): Promise<void>;
  /** Makes the call `service.call`; the answer's header `x-shallotcroft-code` tells how it ended. */
  call(name: string, body: Buffer, options?: CallOptions): Promise<CallResponse>;
  histograms: Histograms;
  directory: DirectoryClient;
  stop(): Promise<void>;
}

function headersOf(
  { name, clock, random }: EmbeddedCallerOptions,
  options: CallOptions,
): CallHeaders {
  const headers: CallHeaders = { ...options.headers, [CallHeader.caller]: name };
  headers[CallHeader.key] = options.key ?? mintKey(clock, random);
  if (options.timeoutMs !== undefined) {
    headers[CallHeader.deadline] = String(Math.floor(options.timeoutMs));
  }
  return headers;
}

/** Makes a caller; it learns targets and configuration from the bootstrap daemons. */
export function createEmbeddedCaller(options: EmbeddedCallerOptions): EmbeddedCaller {
  const { clock, random, transport } = options;
  const supervisor = createSupervisor(options);
  const directory = createDirectoryClient(options);
  const histograms = createHistograms();
  const routing = createCallRouting({
    ...options,
    caller: { host: options.name, dataCentre: options.dataCentre },
    directory,
    configuration: directory.configuration,
  });
  const gateway = createGateway({
    clock,
    random,
    transport,
    router: routing.router,
    retryBudget: new RetryBudget(clock),
    histograms,
    logger: options.logger,
    originOf: createCallOrigins({
      clock,
      configuration: directory.configuration,
      runningCalls: createRunningCalls(),
    }),
  });

  async function learnDirectory(): Promise<void> {
    for (let attempt = 0; attempt < START_ATTEMPTS; attempt++) {
      const answered = await directory.refresh();
      if (answered && directory.configuration()) return;
      await clock.sleep(START_RETRY_MS);
    }
    throw new Error('no daemon gave a configuration; check the bootstrap addresses');
  }

  return {
    histograms,
    directory,
    start: async () => {
      await learnDirectory();
      supervisor.runTask('directory', directory.run);
    },
    call: (name, body, callOptions = {}) => {
      const headers = headersOf(options, callOptions);
      const keyIsNew = callOptions.key === undefined;
      const request = { call: name, headers, body, keyIsNew };
      return gateway.call(request, callOptions.signal ?? new AbortController().signal);
    },
    stop: () => supervisor.stop(),
  };
}

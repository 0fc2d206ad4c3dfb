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

/** Options of `createEmbeddedCaller`. */
export interface EmbeddedCallerOptions {
  /** Name of the caller; its hash orders calls of the same importance for shedding. */
  name: string;
  dataCentre: string;
  /** Control addresses of some daemons, from which the directory is loaded. */
  bootstrap: PeerAddress[];
  /** Services that are called; all when empty. */
  services: string[];
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  transport: CallTransport;
  peers: PeerCaller;
}

/** Options of one call. */
export interface CallOptions {
  /** Idempotency key of a call that may run at most once: a UUIDv7, the same for each retry. */
  key?: string;
  /** Timeout in milliseconds; the configured deadline is the upper bound. */
  timeoutMs?: number;
  /** Cancels the call and its downstream calls. */
  signal?: AbortSignal;
  /** Additional headers, forwarded to the target unchanged. */
  headers?: CallHeaders;
}

/** Caller in the process of an application, which sends calls directly to the targets' daemons. */
export interface EmbeddedCaller {
  /** Loads targets and configuration; rejects when no daemon responds. */
  start(): Promise<void>;
  /** Makes the call `service.call`; the header `x-shallotcroft-code` has its result code. */
  call(name: string, body: Buffer, options?: CallOptions): Promise<CallResponse>;
  histograms: Histograms;
  directory: DirectoryClient;
  /** Stops the updates of the directory. */
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

/** Creates a caller that loads targets and configuration from the bootstrap daemons. */
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

  async function loadDirectory(): Promise<void> {
    for (let attempt = 0; attempt < START_ATTEMPTS; attempt++) {
      const hasResponse = await directory.refresh();
      if (hasResponse && directory.configuration()) return;
      await clock.sleep(START_RETRY_MS);
    }
    throw new Error('no bootstrap daemon returned a configuration; check the bootstrap addresses');
  }

  return {
    histograms,
    directory,
    start: async () => {
      await loadDirectory();
      supervisor.runTask('directory', directory.run);
    },
    call: (name, body, callOptions = {}) => {
      const headers = headersOf(options, callOptions);
      const isKeyNew = callOptions.key === undefined;
      const request = { call: name, headers, body, isKeyNew };
      return gateway.call(request, callOptions.signal ?? new AbortController().signal);
    },
    stop: () => supervisor.stop(),
  };
}

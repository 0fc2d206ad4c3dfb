import {
  CallHeader,
  ManualClock,
  RetryBudget,
  failureResponse,
  resultCodeOf,
  createAdmission,
  createCallOrigins,
  createCallerShedding,
  createGateway,
  createGuard,
  createHistograms,
  createRunningCalls,
  createSeededRandom,
  createTargetChooser,
  createTargetRegistry,
  createTargetRouter,
  mintKey,
  silentLogger,
} from '@shallotcroft/core';
import type {
  CallResponse,
  Configuration,
  Directory,
  Endpoint,
  Member,
  AtMostOnceRunner,
  Result,
  Failure,
  TargetRegistry,
} from '@shallotcroft/core';
import { CallNetwork } from './callNetwork.js';
import type { Arrival } from './callNetwork.js';
import { findViolations } from './invariants.js';
import type { CallerResponse, SessionRecord } from './invariants.js';
import { downstreamCallsOf, treeSize } from './sessionConfiguration.js';
import { createSessionTarget } from './sessionTarget.js';
import type { CallTreeNode, TargetBehaviour } from './sessionTarget.js';

const DAEMON_PORT = 1;
const TARGET_PORT = 2;
const LATENCY_MS = 1;
const SEED = 11;
const ANNOUNCE_MS = 1000;

/** A daemon and the target beside it. */
export interface SessionHost {
  name: string;
  service: string;
  daemon: Endpoint;
  target: Endpoint;
  registry: TargetRegistry;
  behaviour: TargetBehaviour;
}

/** Options of `SessionWorld.call`. */
export interface SessionCall {
  /** Request id of the root; identifies the call in the transcript. */
  root: string;
  call: string;
  /** Name of the host whose daemon is called. */
  via: string;
  caller?: string;
  /** Deadline of the caller, in milliseconds; at most the deadline of the call, its default. */
  patienceMs?: number;
  /** Time after which the caller cancels the call, in milliseconds. */
  cancelsAfterMs?: number;
  /** Earlier root whose key is reused. */
  keyOf?: string;
}

function memberOf({ name, service, daemon }: SessionHost): Member {
  return {
    incarnation: name,
    version: 1,
    host: name,
    dataCentre: 'one',
    service,
    state: 'serving',
    address: daemon.address,
    callPort: daemon.port,
    peerPort: 0,
    homes: [],
  };
}

function announce({ registry, service, target }: SessionHost): void {
  registry.announce({ service, ...target });
}

/** Daemons, targets and callers on one manual clock, with a transcript of their events. */
export class SessionWorld {
  readonly clock = new ManualClock(new Date('2026-12-04T00:00:00Z'));

  readonly network = new CallNetwork(this.clock, LATENCY_MS);

  readonly hosts = new Map<string, SessionHost>();

  readonly transcript: string[] = [];

  protected readonly random = createSeededRandom(SEED);

  private readonly record: SessionRecord;

  private readonly members: Member[] = [];

  private readonly outcomes = new Map<string, Promise<Result<CallResponse, Failure>>>();

  private readonly keys = new Map<string, string>();

  constructor(protected readonly configuration: Configuration) {
    const policies = Object.values(configuration.calls);
    const atMostOnceCalls = policies.filter(({ execution }) => execution === 'atMostOnce');
    this.record = {
      executions: [],
      responses: [],
      attempts: new Map(),
      atMostOnce: new Set(atMostOnceCalls.map(({ name }) => name)),
      downstreamOfAtMostOnce: new Set(
        atMostOnceCalls.flatMap(({ name }) => downstreamCallsOf(configuration, name)),
      ),
      isCompleteOwnResponse: ({ call, root, body }) =>
        this.matchesCallTree(JSON.parse(body) as CallTreeNode, call, [root]),
      latencyMs: LATENCY_MS,
    };
    this.network.onArrival = ({ path, request }) => {
      if (!path.startsWith('/hop/')) return;
      const root = request.headers[CallHeader.root] ?? '';
      this.record.attempts.set(root, (this.record.attempts.get(root) ?? 0) + 1);
    };
  }

  private shouldLogCalls = true;

  /** Omits individual calls from the transcript from now on. */
  omitCalls(): void {
    this.shouldLogCalls = false;
  }

  /** Adds a line about an individual call to the transcript, unless these are omitted. */
  readonly logCall = (line: string): void => {
    if (this.shouldLogCalls) this.log(line);
  };

  /** Adds a line with the current time to the transcript. */
  readonly log = (line: string): void => {
    const time = Math.floor(this.clock.now()).toString().padStart(6);
    this.transcript.push(`${time} ms  ${line}`);
  };

  /** Changes the behaviour of the targets of a service. */
  changeBehaviour(service: string, behaviour: Partial<TargetBehaviour>): void {
    this.hosts.forEach((host) => {
      if (host.service === service) Object.assign(host.behaviour, behaviour);
    });
  }

  /** Drains the targets of a service. */
  drain(service: string): void {
    this.hosts.forEach((host) => {
      if (host.service === service) host.registry.drain();
    });
  }

  /** Starts a daemon and its target; the service is the part of `name` before the first hyphen. */
  addHost(name: string, behaviour: Partial<TargetBehaviour> = {}): SessionHost {
    const service = name.split('-', 1)[0] as string;
    const host: SessionHost = {
      name,
      service,
      daemon: { address: name, port: DAEMON_PORT },
      target: { address: name, port: TARGET_PORT },
      registry: createTargetRegistry({ clock: this.clock }),
      behaviour: {
        workMs: 5,
        concurrent: false,
        ownRetries: 0,
        refuses: false,
        overloaded: false,
        relaysFailures: false,
        ...behaviour,
      },
    };
    this.hosts.set(name, host);
    this.members.push(memberOf(host));
    this.listen(host);
    announce(host);
    return host;
  }

  /** Returns the host of a name; throws when it is unknown. */
  host(name: string): SessionHost {
    const host = this.hosts.get(name);
    if (!host) throw new Error(`unknown host ${name}`);
    return host;
  }

  /** Makes a call as a caller and records its response. */
  async call(call: SessionCall): Promise<CallerResponse> {
    const policy = this.configuration.calls[call.call];
    if (!policy) throw new Error(`unknown call ${call.call}`);
    const { clock } = this;
    const patienceMs = Math.min(call.patienceMs ?? policy.deadlineMs, policy.deadlineMs);
    const calledAt = clock.now();
    const deadlineAt = calledAt + patienceMs;
    const cancellation = new AbortController();
    const { cancelsAfterMs } = call;
    if (cancelsAfterMs !== undefined) clock.startTimer(cancelsAfterMs, () => cancellation.abort());
    this.logCall(`${call.root} calls ${call.call} at ${call.via}`);
    const sent = await this.network.transportOf('caller').send(
      this.host(call.via).daemon,
      `/call/${call.call.replace('.', '/')}`,
      { call: call.call, headers: this.headersOf(call, patienceMs), body: Buffer.alloc(0) },
      {
        timeoutMs: patienceMs + 50,
        maxResponseBytes: policy.maxAnswerBytes,
        signal: cancellation.signal,
      },
    );
    const response = sent.isOk() ? sent.value : failureResponse(sent.error);
    const received: CallerResponse = {
      root: call.root,
      call: call.call,
      importance: policy.importance,
      code: resultCodeOf(response),
      status: response.status,
      body: response.body.toString(),
      calledAt,
      endedAt: clock.now(),
      deadlineAt,
      maxAttempts: (1 + policy.attemptTokens) * treeSize(this.configuration, call.call),
    };
    this.record.responses.push(received);
    this.logCall(`${call.root} gets ${received.code} (${received.status}) ${received.body}`);
    return received;
  }

  /** Advances the clock by `ms` milliseconds; targets renew their announcements meanwhile. */
  async run(ms: number): Promise<void> {
    const end = this.clock.now() + ms;
    while (this.clock.now() < end) {
      this.hosts.forEach((host) => announce(host));
      await this.clock.advance(Math.min(ANNOUNCE_MS, end - this.clock.now()));
    }
  }

  /** Lets pending calls end, adds counts to the transcript and returns the violated invariants. */
  async finish(): Promise<string[]> {
    await this.run(10_000);
    if (!this.shouldLogCalls) return findViolations(this.record);
    this.record.responses.forEach(({ root }) => {
      const attempts = this.record.attempts.get(root) ?? 0;
      const executions = this.record.executions.filter(
        (execution) => execution.root === root,
      ).length;
      this.transcript.push(`${root}: ${attempts} attempts, ${executions} executions`);
    });
    return findViolations(this.record);
  }

  private headersOf(call: SessionCall, patienceMs: number) {
    const reusedKey = call.keyOf === undefined ? undefined : this.keys.get(call.keyOf);
    const ownKey = reusedKey ?? mintKey(this.clock, this.random);
    this.keys.set(call.root, ownKey);
    return {
      [CallHeader.root]: call.root,
      [CallHeader.caller]: call.caller ?? 'member',
      [CallHeader.deadline]: String(patienceMs),
      [CallHeader.key]: ownKey,
    };
  }

  private directory(): Directory {
    return {
      targetsOf: (service) => this.members.filter((member) => member.service === service),
      members: () => this.members,
      memberOf: (incarnation) => this.members.find((member) => member.incarnation === incarnation),
      onChange: () => () => undefined,
    };
  }

  private homeOf(service: string, shard: number): Member | undefined {
    const targets = this.directory().targetsOf(service);
    return targets[shard % targets.length];
  }

  /**
   * Replaces the home of the shards: a key is executed once, and further attempts with it share its
   * outcome. A result code below 2000 (not run) releases the key.
   */
  private readonly runAtMostOnce: AtMostOnceRunner = (key, execute) => {
    const pending = this.outcomes.get(key);
    if (pending) return pending;
    const outcome = execute({ beginWithinMs: () => Infinity }).then((result) => {
      if (result.isErr() && result.error.code < 2000) this.outcomes.delete(key);
      return result;
    });
    this.outcomes.set(key, outcome);
    return outcome;
  };

  /** Starts the daemon and the target of a host and listens at their endpoints. */
  protected listen(host: SessionHost): void {
    const { clock } = this;
    // Each host has its own random source, so that a change at one host does not affect the others.
    const random = createSeededRandom(SEED + this.hosts.size);
    const transport = this.network.transportOf(host.name);
    const runningCalls = createRunningCalls();
    const histograms = createHistograms();
    const configuration = () => this.configuration;
    const policy = this.configuration.services[host.service];
    const guard = createGuard({
      clock,
      transport,
      admission: createAdmission({
        clock,
        settings: { limit: 'fixed', slots: policy?.slots ?? 1, objective: 'goodput' },
      }),
      registry: host.registry,
      runningCalls,
      histograms,
      logger: silentLogger,
      configuration,
      runAtMostOnce: this.runAtMostOnce,
      downstreamShedLevel: () => 0,
    });
    const gateway = createGateway({
      clock,
      random,
      transport,
      router: createTargetRouter({
        subsets: this.directory(),
        homes: { homeOf: (service, shard) => this.homeOf(service, shard), close: () => undefined },
        configuration,
        chooser: createTargetChooser({ clock, dataCentre: 'one', random }),
        shedding: createCallerShedding(clock, random),
      }),
      retryBudget: new RetryBudget(clock),
      histograms,
      logger: silentLogger,
      originOf: createCallOrigins({ clock, configuration, runningCalls }),
    });
    const handleCall = async ({ path, request, signal }: Arrival) => {
      if (path.startsWith('/hop/')) return guard.handle(request, signal);
      return gateway.call(request, signal);
    };
    this.network.listen(host.daemon, handleCall, true);
    this.network.listen(host.target, this.createTarget(host), false);
  }

  protected createTarget(host: SessionHost): (arrival: Arrival) => Promise<CallResponse> {
    return createSessionTarget({
      host: host.name,
      clock: this.clock,
      transport: this.network.transportOf(`${host.name}-target`),
      daemon: host.daemon,
      childrenOf: (call) => this.configuration.calls[call]?.children ?? [],
      behaviour: host.behaviour,
      executions: this.record.executions,
      log: this.logCall,
    });
  }

  /**
   * Whether a response has the complete call tree of `call` for one of `roots`. An at-most-once
   * call has one response for all roots with its key, whichever of them started it.
   */
  private matchesCallTree(node: CallTreeNode, call: string, roots: string[]): boolean {
    const policy = this.configuration.calls[call];
    const isAtMostOnce = policy?.execution === 'atMostOnce';
    const allowedRoots = isAtMostOnce ? roots.flatMap((root) => this.rootsWithKeyOf(root)) : roots;
    if (node.call !== call || !allowedRoots.includes(node.root)) return false;
    const children = policy?.children ?? [];
    return (
      node.below.length === children.length &&
      children.every((child, index) =>
        this.matchesCallTree(node.below[index] as CallTreeNode, child, [node.root]),
      )
    );
  }

  private rootsWithKeyOf(root: string): string[] {
    const key = this.keys.get(root);
    return [...this.keys.keys()].filter((other) => this.keys.get(other) === key);
  }
}

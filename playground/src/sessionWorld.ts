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
import type { CallerAnswer, SessionRecord } from './invariants.js';
import { callsBelow, treeSize } from './sessionConfiguration.js';
import { createSessionTarget } from './sessionTarget.js';
import type { AnswerPart, TargetBehaviour } from './sessionTarget.js';

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

/** How a caller makes a call. */
export interface SessionCall {
  /** Request id of the root; names the call in the transcript. */
  root: string;
  call: string;
  /** Host whose daemon is called. */
  via: string;
  caller?: string;
  patienceMs?: number;
  /** Goes away after this time. */
  leavesAfterMs?: number;
  /** Earlier root whose key is used again. */
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

/** Daemons, targets and callers on one clock, with a transcript of what is seen. */
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
    const once = policies.filter(({ execution }) => execution === 'atMostOnce');
    this.record = {
      executions: [],
      answers: [],
      attempts: new Map(),
      atMostOnce: new Set(once.map(({ name }) => name)),
      belowAtMostOnce: new Set(once.flatMap(({ name }) => callsBelow(configuration, name))),
      isOwnWholeAnswer: ({ call, root, body }) =>
        this.isOwnWhole(JSON.parse(body) as AnswerPart, call, [root]),
      latencyMs: LATENCY_MS,
    };
    this.network.onArrival = ({ path, request }) => {
      if (!path.startsWith('/hop/')) return;
      const root = request.headers[CallHeader.root] ?? '';
      this.record.attempts.set(root, (this.record.attempts.get(root) ?? 0) + 1);
    };
  }

  private logsCalls = true;

  /** Leaves single calls out of the transcript from now on. */
  omitCalls(): void {
    this.logsCalls = false;
  }

  /** Writes a line about one call. */
  readonly logCall = (line: string): void => {
    if (this.logsCalls) this.log(line);
  };

  /** Writes a line of the transcript. */
  readonly log = (line: string): void => {
    const time = Math.floor(this.clock.now()).toString().padStart(6);
    this.transcript.push(`${time} ms  ${line}`);
  };

  /** Makes the targets of a service behave otherwise from now on. */
  changeBehaviour(service: string, behaviour: Partial<TargetBehaviour>): void {
    this.hosts.forEach((host) => {
      if (host.service === service) Object.assign(host.behaviour, behaviour);
    });
  }

  /** Makes the targets of a service leave. */
  drain(service: string): void {
    this.hosts.forEach((host) => {
      if (host.service === service) host.registry.drain();
    });
  }

  /** Starts daemon and target of one host. */
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

  host(name: string): SessionHost {
    const host = this.hosts.get(name);
    if (!host) throw new Error(`no host ${name}`);
    return host;
  }

  /** Makes a call as a caller would, and writes down its answer. */
  async call(call: SessionCall): Promise<CallerAnswer> {
    const policy = this.configuration.calls[call.call];
    if (!policy) throw new Error(`no call ${call.call}`);
    const { clock } = this;
    const patienceMs = Math.min(call.patienceMs ?? policy.deadlineMs, policy.deadlineMs);
    const calledAt = clock.now();
    const deadlineAt = calledAt + patienceMs;
    const gone = new AbortController();
    const leaving = call.leavesAfterMs;
    if (leaving !== undefined) clock.startTimer(leaving, () => gone.abort());
    this.logCall(`${call.root} calls ${call.call} at ${call.via}`);
    const sent = await this.network.transportOf('caller').send(
      this.host(call.via).daemon,
      `/call/${call.call.replace('.', '/')}`,
      { call: call.call, headers: this.headersOf(call, patienceMs), body: Buffer.alloc(0) },
      {
        timeoutMs: patienceMs + 50,
        maxResponseBytes: policy.maxAnswerBytes,
        signal: gone.signal,
      },
    );
    const response = sent.isOk() ? sent.value : failureResponse(sent.error);
    const seen: CallerAnswer = {
      root: call.root,
      call: call.call,
      importance: policy.importance,
      code: resultCodeOf(response),
      status: response.status,
      body: response.body.toString(),
      calledAt,
      at: clock.now(),
      deadlineAt,
      maxAttempts: (1 + policy.attemptTokens) * treeSize(this.configuration, call.call),
    };
    this.record.answers.push(seen);
    this.logCall(`${call.root} gets ${seen.code} (${seen.status}) ${seen.body}`);
    return seen;
  }

  /** Lets time pass; targets renew their announcements meanwhile. */
  async run(ms: number): Promise<void> {
    const end = this.clock.now() + ms;
    while (this.clock.now() < end) {
      this.hosts.forEach((host) => announce(host));
      await this.clock.advance(Math.min(ANNOUNCE_MS, end - this.clock.now()));
    }
  }

  /** Waits until all is quiet, adds counts to the transcript, and tells what does not hold. */
  async finish(): Promise<string[]> {
    await this.run(10_000);
    if (!this.logsCalls) return findViolations(this.record);
    this.record.answers.forEach(({ root }) => {
      const attempts = this.record.attempts.get(root) ?? 0;
      const executions = this.record.executions.filter((one) => one.root === root).length;
      this.transcript.push(`${root}: ${attempts} attempts, ${executions} executions`);
    });
    return findViolations(this.record);
  }

  private headersOf(call: SessionCall, patienceMs: number) {
    const key = call.keyOf === undefined ? undefined : this.keys.get(call.keyOf);
    const own = key ?? mintKey(this.clock, this.random);
    this.keys.set(call.root, own);
    return {
      [CallHeader.root]: call.root,
      [CallHeader.caller]: call.caller ?? 'member',
      [CallHeader.deadline]: String(patienceMs),
      [CallHeader.key]: own,
    };
  }

  private directory(): Directory {
    return {
      targetsOf: (service) => this.members.filter((member) => member.service === service),
      members: () => this.members,
      memberOf: (incarnation) => this.members.find((one) => one.incarnation === incarnation),
      onChange: () => () => undefined,
    };
  }

  private homeOf(service: string, shard: number): Member | undefined {
    const targets = this.directory().targetsOf(service);
    return targets[shard % targets.length];
  }

  /** Stands in for the home of the keys: a key runs once, and a further attempt joins it. */
  private readonly oneShot: AtMostOnceRunner = (key, execute) => {
    const running = this.outcomes.get(key);
    if (running) return running;
    const outcome = execute({ beginWithinMs: () => Infinity }).then((result) => {
      if (result.isErr() && result.error.code < 2000) this.outcomes.delete(key);
      return result;
    });
    this.outcomes.set(key, outcome);
    return outcome;
  };

  /** Starts what answers calls to the daemon and the target of a host. */
  protected listen(host: SessionHost): void {
    const { clock } = this;
    // A source of its own, so that a change at one host leaves the others' choices alone.
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
      runAtMostOnce: this.oneShot,
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
    const answerCall = async ({ path, request, signal }: Arrival) => {
      if (path.startsWith('/hop/')) return guard.handle(request, signal);
      return gateway.call(request, signal);
    };
    this.network.listen(host.daemon, answerCall, true);
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

  /** A call with a key has one answer, whichever of the roots with that key began it. */
  private isOwnWhole(part: AnswerPart, call: string, roots: string[]): boolean {
    const policy = this.configuration.calls[call];
    const once = policy?.execution === 'atMostOnce';
    const owners = once ? roots.flatMap((root) => this.rootsWithKeyOf(root)) : roots;
    if (part.call !== call || !owners.includes(part.root)) return false;
    const children = policy?.children ?? [];
    return (
      part.below.length === children.length &&
      children.every((child, index) =>
        this.isOwnWhole(part.below[index] as AnswerPart, child, [part.root]),
      )
    );
  }

  private rootsWithKeyOf(root: string): string[] {
    const key = this.keys.get(root);
    return [...this.keys.keys()].filter((other) => this.keys.get(other) === key);
  }
}

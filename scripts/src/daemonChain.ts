import { RpcPeerCaller, importances } from '@shallotcroft/core';
import type {
  CallPolicy,
  Configuration,
  Importance,
  LimitKind,
  Objective,
} from '@shallotcroft/core';
import { startDeployment, waitUntilReady } from '@shallotcroft/playground';
import type { Deployment } from '@shallotcroft/playground';
import { Agent, request } from 'undici';
import { Chain, chainShape } from './overloadChain.js';
import type { RootAttempt } from './overloadChain.js';

const LOOPBACK = '127.0.0.1';
const ATTEMPT_TOKENS = 3;
const DEADLINE_MS = 5000;
const MAX_BYTES = 100_000;
const CONNECTIONS_PER_DAEMON = 512;
const services = ['front', 'middle', 'deep'] as const;

function policyOf(name: string, importance: Importance, children: string[]): CallPolicy {
  return {
    name,
    service: name.split('.')[0] as string,
    importance,
    execution: 'repeatable',
    deadlineMs: DEADLINE_MS,
    attemptTokens: ATTEMPT_TOKENS,
    maxAnswerBytes: MAX_BYTES,
    maxBodyBytes: MAX_BYTES,
    children,
  };
}

function configurationOf(limit: LimitKind, objective: Objective): Configuration {
  const calls = [
    ...importances.map((importance) =>
      policyOf(`front.${importance}`, importance, ['middle.work']),
    ),
    policyOf('middle.work', 'normal', ['deep.work']),
    policyOf('deep.work', 'normal', []),
  ];
  const policies = services.map((name, depth) => ({
    name,
    slots: chainShape.slots[depth] as number,
    connections: 1000,
    limit,
    shards: 1,
  }));
  return {
    revision: 1,
    changeId: 'measure-overload',
    objective,
    services: Object.fromEntries(policies.map((policy) => [policy.name, policy])),
    calls: Object.fromEntries(calls.map((policy) => [policy.name, policy])),
  };
}

/** The chain through daemons, with a process for each daemon and for each target. */
export class DaemonChain extends Chain {
  private readonly agent = new Agent({ connections: CONNECTIONS_PER_DAEMON });

  private callCount = 0;

  private constructor(private readonly deployment: Deployment) {
    super();
  }

  /** Starts store, daemons and targets, and waits until the deployment is ready. */
  static async start(limit: LimitKind, objective: Objective): Promise<DaemonChain> {
    const configuration = configurationOf(limit, objective);
    const deployment = await startDeployment({
      configuration,
      dataCentres: ['here'],
      targetsPerService: chainShape.targetsPerService,
      workMs: chainShape.workMs,
      queueing: true,
      logLevel: 'error',
    });
    const peers = new RpcPeerCaller();
    await waitUntilReady(deployment, peers, configuration.revision);
    await peers.close();
    return new DaemonChain(deployment);
  }

  override async call(attempt: RootAttempt): Promise<boolean> {
    const hosts = this.deployment.hostsOf('front');
    this.callCount += 1;
    const port = hosts[this.callCount % hosts.length]?.callPort;
    try {
      const response = await request(
        `http://${LOOPBACK}:${port}/call/front/${attempt.importance}`,
        {
          method: 'POST',
          dispatcher: this.agent,
          headers: {
            'x-shallotcroft-root': attempt.id,
            'x-shallotcroft-caller': attempt.caller,
            'x-shallotcroft-deadline-ms': String(attempt.patienceMs),
          },
          signal: AbortSignal.timeout(attempt.patienceMs),
        },
      );
      await response.body.dump();
      return response.statusCode === 200;
    } catch {
      return false;
    }
  }

  override async setSlowdown(factor: number): Promise<void> {
    const deep = this.deployment.hostsOf('deep');
    await Promise.all(deep.map((host) => this.postAdmin(host.target.ready, `slowness/${factor}`)));
  }

  override async executions(): Promise<Map<string, number>> {
    const sums = new Map<string, number>();
    for (const host of this.deployment.hosts) {
      const counts = await this.postAdmin(host.target.ready, 'executions');
      Object.entries(counts).forEach(([root, count]) =>
        sums.set(root, (sums.get(root) ?? 0) + count),
      );
    }
    return sums;
  }

  override async close(): Promise<void> {
    await this.agent.destroy();
    await this.deployment.stop();
  }

  private async postAdmin(ready: unknown, path: string): Promise<Record<string, number>> {
    const { listening } = ready as { listening: number };
    const url = `http://${LOOPBACK}:${listening}/admin/${path}`;
    const response = await request(url, { method: 'POST', dispatcher: this.agent });
    return (await response.body.json()) as Record<string, number>;
  }
}

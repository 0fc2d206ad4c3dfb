import type { CallPolicy, Configuration } from '@shallotcroft/core';

const SLOTS = 8;

type CallSettings = Pick<CallPolicy, 'name' | 'importance' | 'execution' | 'children'>;

function callPolicy(settings: CallSettings): CallPolicy {
  return {
    ...settings,
    service: settings.name.split('.', 1)[0] as string,
    deadlineMs: 3000,
    attemptTokens: 3,
    maxAnswerBytes: 4000,
    maxBodyBytes: 1000,
  };
}

function createConfiguration(calls: CallSettings[]): Configuration {
  const policies = calls.map(callPolicy);
  const services = policies.map(({ service }) => [
    service,
    { name: service, slots: SLOTS, connections: 100, limit: 'fixed' as const, shards: 1 },
  ]);
  return {
    revision: 1,
    changeId: 'session',
    objective: 'goodput',
    services: Object.fromEntries(services),
    calls: Object.fromEntries(policies.map((policy) => [policy.name, policy])),
  };
}

/** Configuration of the reading circles: circles call reservations, which call the catalogue. */
export const largePrintConfiguration = createConfiguration([
  {
    name: 'circles.reserve',
    importance: 'critical',
    execution: 'repeatable',
    children: ['reservations.reserve'],
  },
  {
    name: 'circles.browse',
    importance: 'low',
    execution: 'repeatable',
    children: ['catalogue.browse'],
  },
  {
    name: 'reservations.reserve',
    importance: 'critical',
    execution: 'atMostOnce',
    children: ['catalogue.hold'],
  },
  { name: 'catalogue.hold', importance: 'critical', execution: 'repeatable', children: [] },
  { name: 'catalogue.browse', importance: 'low', execution: 'repeatable', children: [] },
]);

/** Configuration of Cairnlea: licensing calls consents, which calls payments. */
export const cairnleaConfiguration = createConfiguration([
  {
    name: 'licensing.grant',
    importance: 'critical',
    execution: 'atMostOnce',
    children: ['consents.approve'],
  },
  {
    name: 'licensing.search',
    importance: 'low',
    execution: 'repeatable',
    children: ['consents.read'],
  },
  {
    name: 'consents.approve',
    importance: 'critical',
    execution: 'repeatable',
    children: ['payments.pay', 'payments.notify'],
  },
  { name: 'consents.read', importance: 'low', execution: 'repeatable', children: [] },
  { name: 'payments.pay', importance: 'critical', execution: 'atMostOnce', children: [] },
  { name: 'payments.notify', importance: 'normal', execution: 'repeatable', children: [] },
]);

/** Names of the downstream calls of a call; a call that is made repeatedly appears repeatedly. */
export function downstreamCallsOf(configuration: Configuration, name: string): string[] {
  const children = configuration.calls[name]?.children ?? [];
  return children.flatMap((child) => [child, ...downstreamCallsOf(configuration, child)]);
}

/** Number of calls in the call tree of a call, including itself. */
export function treeSize(configuration: Configuration, name: string): number {
  return 1 + downstreamCallsOf(configuration, name).length;
}

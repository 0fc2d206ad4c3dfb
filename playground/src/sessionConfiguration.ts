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

function configurationOf(calls: CallSettings[]): Configuration {
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

/** The reading circles: circles, reservations and the catalogue, three deep. */
export const largePrintConfiguration = configurationOf([
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

/** Cairnlea: licensing, consents and payments, three deep. */
export const cairnleaConfiguration = configurationOf([
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

/** Names of the calls below one, each as often as it is made. */
export function callsBelow(configuration: Configuration, name: string): string[] {
  const children = configuration.calls[name]?.children ?? [];
  return children.flatMap((child) => [child, ...callsBelow(configuration, child)]);
}

/** Number of calls in the tree of one, itself included. */
export function treeSize(configuration: Configuration, name: string): number {
  return 1 + callsBelow(configuration, name).length;
}

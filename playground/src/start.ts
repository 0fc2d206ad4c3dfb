import { request } from 'undici';
import { RpcPeerCaller } from '@shallotcroft/core';
import type { CallPolicy, Configuration, ServicePolicy } from '@shallotcroft/core';
import { startDeployment } from './deployment.js';
import { waitUntilReady } from './readiness.js';

/** The main job on an embedded default: the reading circles, thin. */

const CALLS = 20;

function service(name: string): ServicePolicy {
  return { name, slots: 10, connections: 100, limit: 'adaptive', shards: 4 };
}

function call(name: string, children: string[]): CallPolicy {
  return {
    name,
    service: name.split('.')[0] as string,
    importance: 'critical',
    execution: 'repeatable',
    deadlineMs: 2000,
    attemptTokens: 2,
    maxAnswerBytes: 1_000_000,
    maxBodyBytes: 1_000_000,
    children,
  };
}

const configuration: Configuration = {
  revision: 1,
  changeId: 'thin',
  objective: 'goodput',
  services: {
    circles: service('circles'),
    reservations: service('reservations'),
    catalogue: service('catalogue'),
  },
  calls: {
    'circles.reserve': call('circles.reserve', ['reservations.reserve']),
    'reservations.reserve': call('reservations.reserve', ['catalogue.hold']),
    'catalogue.hold': call('catalogue.hold', []),
  },
};

const deployment = await startDeployment({
  configuration,
  dataCentres: ['hobart', 'launceston'],
  targetsPerService: 2,
  workMs: 1,
  logLevel: 'warn',
});
const peers = new RpcPeerCaller();
await waitUntilReady(deployment, peers, configuration.revision);
const entry = deployment.hosts[5];
for (let index = 0; index < CALLS; index++) {
  const answer = await request(`http://127.0.0.1:${entry?.callPort}/call/circles/reserve`, {
    method: 'POST',
    headers: { 'x-shallotcroft-caller': `member-${index % 3}` },
    body: '{}',
  });
  console.log(answer.statusCode, await answer.body.text());
}
await peers.close();
await deployment.stop();

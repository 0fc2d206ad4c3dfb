import { rendezvousScore } from '@shallotcroft/core';
import type { CallPolicy, Configuration, Member, ServicePolicy } from '@shallotcroft/core';

/** Data centres of a fleet of the design size. */
export const DATA_CENTRES = 14;

/** Upstreams of a fleet of the design size. */
export const DESIGN_UPSTREAMS = 10_000;

const DESIGN_SERVICES = 490;
const CALLS_PER_SERVICE = 5;
const HOSTS_PER_SUBNET = 250;

/** Returns the number of services in a fleet of `size` upstreams. */
export function servicesOf(size: number): number {
  return Math.max(1, Math.round((size * DESIGN_SERVICES) / DESIGN_UPSTREAMS));
}

/** Returns the member of upstream `index` in a fleet of `size`, with an incarnation per `restart`. */
export function memberAt(index: number, size: number, restart = 0): Member {
  const suffix = `${index.toString(16).padStart(8, '0')}${restart.toString(16).padStart(4, '0')}`;
  return {
    incarnation: `0193a1b2-7c3d-7e4f-8a5b-${suffix}`,
    version: 3,
    host: `host-${index.toString().padStart(5, '0')}`,
    dataCentre: `data-centre-${index % DATA_CENTRES}`,
    service: `service-${rendezvousScore('service', String(index)) % servicesOf(size)}`,
    state: 'serving',
    address: `10.${index % DATA_CENTRES}.${Math.floor(index / HOSTS_PER_SUBNET)}.${index % HOSTS_PER_SUBNET}`,
    callPort: 7401,
    peerPort: 7402,
    homes: [],
  };
}

function createService(name: string, revision: number): ServicePolicy {
  return { name, slots: 100 + revision, connections: 900, limit: 'adaptive', shards: 16 };
}

function createCall(service: string, index: number, revision: number): CallPolicy {
  return {
    name: `${service}.call-${index}`,
    service,
    importance: 'normal',
    execution: 'repeatable',
    deadlineMs: 2000 + revision,
    attemptTokens: 2,
    maxAnswerBytes: 1_000_000,
    maxBodyBytes: 100_000,
    children: [`${service}.call-${index + 1}`],
  };
}

/** Returns a configuration for a fleet of `size`; each revision changes one service and its calls. */
export function configurationAt(size: number, revision: number): Configuration {
  const services: Record<string, ServicePolicy> = {};
  const calls: Record<string, CallPolicy> = {};
  const count = servicesOf(size);
  for (let service = 0; service < count; service++) {
    const name = `service-${service}`;
    const changedBy = revision - ((((revision - service) % count) + count) % count);
    const lastChange = Math.max(0, changedBy);
    services[name] = createService(name, lastChange);
    for (let call = 0; call < CALLS_PER_SERVICE; call++) {
      calls[`${name}.call-${call}`] = createCall(name, call, lastChange);
    }
  }
  return { revision, changeId: `change-${revision}`, objective: 'goodput', services, calls };
}

import { rendezvousScore } from '@shallotcroft/core';
import type { CallPolicy, Configuration, Member, ServicePolicy } from '@shallotcroft/core';

/** Data centres of the size to design for. */
export const DATA_CENTRES = 14;

/** Upstreams of the size to design for. */
export const DESIGN_UPSTREAMS = 10_000;

const DESIGN_SERVICES = 490;
const CALLS_PER_SERVICE = 5;
const HOSTS_PER_SUBNET = 250;

/** Number of services of a fleet of `size` upstreams. */
export function servicesOf(size: number): number {
  return Math.max(1, Math.round((size * DESIGN_SERVICES) / DESIGN_UPSTREAMS));
}

/** The record of upstream `index` in a fleet of `size`; `run` tells its incarnations apart. */
export function memberAt(index: number, size: number, run = 0): Member {
  const suffix = `${index.toString(16).padStart(8, '0')}${run.toString(16).padStart(4, '0')}`;
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

function serviceNamed(name: string, revision: number): ServicePolicy {
  return { name, slots: 100 + revision, connections: 900, limit: 'adaptive', shards: 16 };
}

function callNamed(service: string, index: number, revision: number): CallPolicy {
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

/** A configuration for a fleet of `size`; each revision changes one service and its calls. */
export function configurationAt(size: number, revision: number): Configuration {
  const services: Record<string, ServicePolicy> = {};
  const calls: Record<string, CallPolicy> = {};
  const count = servicesOf(size);
  for (let service = 0; service < count; service++) {
    const name = `service-${service}`;
    const changedBy = revision - ((((revision - service) % count) + count) % count);
    const last = Math.max(0, changedBy);
    services[name] = serviceNamed(name, last);
    for (let call = 0; call < CALLS_PER_SERVICE; call++) {
      calls[`${name}.call-${call}`] = callNamed(name, call, last);
    }
  }
  return { revision, changeId: `change-${revision}`, objective: 'goodput', services, calls };
}

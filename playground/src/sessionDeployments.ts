import type { Configuration } from '@shallotcroft/core';
import { cairnleaConfiguration, largePrintConfiguration } from './sessionConfiguration.js';
import type { TargetBehaviour } from './sessionTarget.js';
import type { SessionWorld } from './sessionWorld.js';

const HOSTS_PER_SERVICE = 2;

/** A deployment that sessions run on. */
export interface SessionDeployment {
  name: string;
  configuration: Configuration;
  /** Root call of the highest importance; its call tree passes through all services. */
  critical: string;
  /** Root call of the lowest importance. */
  low: string;
  /** Services in call order, from the root to the leaves. */
  chain: [string, string, string];
}

/** The two example deployments. */
export const sessionDeployments: SessionDeployment[] = [
  {
    name: 'largePrint',
    configuration: largePrintConfiguration,
    critical: 'circles.reserve',
    low: 'circles.browse',
    chain: ['circles', 'reservations', 'catalogue'],
  },
  {
    name: 'cairnlea',
    configuration: cairnleaConfiguration,
    critical: 'licensing.grant',
    low: 'licensing.search',
    chain: ['licensing', 'consents', 'payments'],
  },
];

/** Starts the hosts of a deployment, named `SERVICE-NUMBER`. */
export function addHosts(
  world: SessionWorld,
  { chain }: SessionDeployment,
  behaviour: Partial<TargetBehaviour> = {},
): void {
  chain.forEach((service) => {
    for (let number = 0; number < HOSTS_PER_SERVICE; number++) {
      world.addHost(`${service}-${number}`, behaviour);
    }
  });
}

/** Endpoint names of the daemons of a service. */
export function daemonsOf(service: string): string[] {
  return Array.from({ length: HOSTS_PER_SERVICE }, (_, number) => `${service}-${number}:1`);
}

/** Endpoint names of the targets of a service. */
export function targetsOf(service: string): string[] {
  return Array.from({ length: HOSTS_PER_SERVICE }, (_, number) => `${service}-${number}:2`);
}

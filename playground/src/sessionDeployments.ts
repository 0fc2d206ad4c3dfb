import type { Configuration } from '@shallotcroft/core';
import { cairnleaConfiguration, largePrintConfiguration } from './sessionConfiguration.js';
import type { TargetBehaviour } from './sessionTarget.js';
import type { SessionWorld } from './sessionWorld.js';

const HOSTS_PER_SERVICE = 2;

/** A deployment as sessions see it. */
export interface SessionDeployment {
  name: string;
  configuration: Configuration;
  /** The call that matters most, through all services. */
  critical: string;
  /** The call that matters least. */
  low: string;
  /** Services from the top of the chain to its end. */
  chain: [string, string, string];
}

/** The deployments of both users. */
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

/** Starts the hosts of a deployment, named by service and number. */
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

/** Daemons of a service, as faults name them. */
export function daemonsOf(service: string): string[] {
  return Array.from({ length: HOSTS_PER_SERVICE }, (_, number) => `${service}-${number}:1`);
}

/** Targets of a service, as faults name them. */
export function targetsOf(service: string): string[] {
  return Array.from({ length: HOSTS_PER_SERVICE }, (_, number) => `${service}-${number}:2`);
}

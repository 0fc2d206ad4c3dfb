import { ResultCode, mapping, parseYaml } from '@shallotcroft/core';
import type { Endpoint, Failure, LogLevel, Result, YamlSource } from '@shallotcroft/core';
import * as z from 'zod';

const HIGHEST_PORT = 65_535;

/** Resolved settings of a daemon that forwards requests by host and path. */
export interface ForwardingSettings {
  /** Name of the host. */
  host: string;
  dataCentre: string;
  /** IP address by which other daemons reach this one. */
  address: string;
  /** Service of the target on this host. */
  service: string;
  /** Where the target listens. */
  target: Endpoint;
  listen: {
    /** Where callers and the target on this host send their requests. */
    requests: Endpoint;
    /** Where readiness is asked. */
    readiness: Endpoint;
    /** Where the target sends its heartbeats. */
    heartbeats: Endpoint;
    /** Port for requests of other daemons. */
    callPort: number;
    /** Port for control messages of other daemons. */
    peerPort: number;
    /** Port on which metrics are served. */
    metricsPort: number;
  };
  store: Endpoint;
  /** Time after which a stopping daemon is killed, in seconds. */
  stopTimeoutSeconds: number;
  retry: {
    /** Further attempts of the whole fleet, as a share of a service's requests. */
    ratio: number;
    /** Further attempts of the whole fleet that are allowed besides. */
    spare: number;
  };
  logLevel: LogLevel;
}

const endpoint = z
  .string({ error: 'write an address and a port, such as 10.0.0.7:8080' })
  .regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, {
    error: 'write an address and a port, such as 10.0.0.7:8080',
  })
  .transform((text): Endpoint => {
    const [address, port] = text.split(':') as [string, string];
    return { address, port: Number(port) };
  });

const port = z
  .int({ error: 'write a port, such as 7400' })
  .min(0)
  .max(HIGHEST_PORT, { error: `a port is at most ${HIGHEST_PORT}` });

const name = z.string({ error: 'write a name' }).min(1, { error: 'write a name' });

const schema = mapping({
  host: name,
  dataCentre: name,
  address: z.ipv4({ error: 'write an IP address, such as 10.0.0.7' }),
  service: name,
  target: endpoint,
  listen: mapping({
    requests: endpoint,
    readiness: endpoint,
    heartbeats: endpoint,
    callPort: port,
    peerPort: port,
    metricsPort: port,
  }),
  store: endpoint,
  stopTimeoutSeconds: z.number({ error: 'write seconds, such as 6' }).min(0).default(6),
  retry: mapping({
    ratio: z.number({ error: 'write a share, such as 0.2' }).min(0).max(1).default(0.2),
    spare: z.number({ error: 'write a number, such as 48' }).min(0).default(48),
  }).prefault({}),
  logLevel: z
    .enum(['error', 'warn', 'info', 'debug'], { error: 'write one of: error, warn, info, debug' })
    .default('info'),
});

/** Reads settings; `settingsInvalid` names file, line, path and what would be right. */
export function readForwardingSettings(source: YamlSource): Result<ForwardingSettings, Failure> {
  return parseYaml(source, schema, ResultCode.settingsInvalid).map(({ value }) => value);
}

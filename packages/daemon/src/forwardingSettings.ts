import { totalmem } from 'node:os';
import { ResultCode, mapping, parseYaml } from '@shallotcroft/core';
import type { Endpoint, Failure, LogLevel, Result, YamlSource } from '@shallotcroft/core';
import * as z from 'zod';

const MAX_PORT = 65_535;
/** Memory that a daemon uses at most where no limit is set, in megabytes. */
const MAX_DEFAULT_MEGABYTES = 350;
const BYTES_PER_MEGABYTE = 1024 * 1024;

/** Settings of a daemon that forwards requests by host and path, with defaults applied. */
export interface ForwardingSettings {
  /** Name of the host. */
  host: string;
  dataCentre: string;
  /** IP address at which other daemons reach this one. */
  address: string;
  /** Service of the local target. */
  service: string;
  /** Endpoint of the local target. */
  target: Endpoint;
  listen: {
    /** Endpoint for requests of callers and of the local target. */
    requests: Endpoint;
    /** Endpoint for readiness checks. */
    readiness: Endpoint;
    /** Endpoint for heartbeats of the local target. */
    heartbeats: Endpoint;
    /** Port for requests of other daemons. */
    callPort: number;
    /** Port for control messages of other daemons. */
    peerPort: number;
    /** Port for metrics. */
    metricsPort: number;
  };
  /** Endpoint of the platform's store. */
  store: Endpoint;
  /** Time after which a stopping daemon is killed, in seconds. */
  stopTimeoutSeconds: number;
  retry: {
    /** Retries of the whole fleet, as a share of a service's requests. */
    ratio: number;
    /** Retries of the whole fleet that are allowed in addition to that share. */
    spare: number;
  };
  /** Limit of the memory of this process, in megabytes; at most that of the host by default. */
  memoryMegabytes: number;
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
  .max(MAX_PORT, { error: `a port is at most ${MAX_PORT}` });

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
  memoryMegabytes: z
    .number({ error: 'write megabytes, such as 350' })
    .min(1)
    .default(() => Math.min(MAX_DEFAULT_MEGABYTES, totalmem() / BYTES_PER_MEGABYTE)),
  logLevel: z
    .enum(['error', 'warn', 'info', 'debug'], { error: 'write one of: error, warn, info, debug' })
    .default('info'),
});

/** Parses settings; `settingsInvalid` names the file, line, path and expected value. */
export function parseForwardingSettings(source: YamlSource): Result<ForwardingSettings, Failure> {
  return parseYaml(source, schema, ResultCode.settingsInvalid).map(({ value }) => value);
}

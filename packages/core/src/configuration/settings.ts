import type { Result } from 'ts-results-es';
import * as z from 'zod';
import type { Failure } from '../runtime/failure.js';
import type { LogLevel } from '../observability/logger.js';
import type { PeerAddress } from '../peers/peer.js';
import { ResultCode } from '../runtime/resultCode.js';
import { mapping, parseYaml } from './yamlDocument.js';
import type { YamlSource } from './yamlDocument.js';

const MAX_PORT = 65_535;

/** Settings of a daemon, with defaults filled in. */
export interface Settings {
  /** Name of the host. */
  host: string;
  dataCentre: string;
  region: string;
  /** IP address on which the daemon listens and at which peers reach it. */
  address: string;
  /** Port for calls; 0 selects a free one. */
  callPort: number;
  /** Port for control messages; 0 selects a free one. */
  peerPort: number;
  /** The etcd store; if undefined, the configuration comes only from other daemons. */
  store: { endpoints: string[] } | undefined;
  /** Addresses of daemons from which the members are fetched on start. */
  bootstrap: PeerAddress[];
  logLevel: LogLevel;
}

const name = z
  .string({ error: 'write a name, such as hobart' })
  .min(1, { error: 'write a name, such as hobart' });

const address = z.union([z.ipv4(), z.ipv6()], {
  error: 'write an IP address of this host, such as 10.0.0.7',
});

function port(from: number) {
  const error = `write a port from ${from} to ${MAX_PORT}, such as 7400`;
  return z.int({ error }).min(from, { error }).max(MAX_PORT, { error });
}

const endpoint = z.url({
  protocol: /^https?$/,
  error: 'write the origin of a gateway, such as http://10.0.0.1:2379',
});

const settingsSchema = mapping({
  host: name,
  dataCentre: name,
  region: name.default('default'),
  address,
  callPort: port(0).default(7400),
  peerPort: port(0).default(7401),
  store: mapping({
    endpoints: z
      .array(endpoint, { error: 'write a list of origins, such as [http://10.0.0.1:2379]' })
      .min(1, { error: 'write at least one origin, or leave store out' }),
  }).optional(),
  bootstrap: z
    .array(mapping({ address, port: port(1) }), {
      error: 'write a list such as [{ address: 10.0.0.8, port: 7401 }]',
    })
    .default([]),
  logLevel: z
    .enum(['error', 'warn', 'info', 'debug'], { error: 'write one of: error, warn, info, debug' })
    .default('info'),
});

/** Parses settings; fails with `settingsInvalid`, naming file, line, path and remedy. */
export function parseSettings(source: YamlSource): Result<Settings, Failure> {
  const document = parseYaml(source, settingsSchema, ResultCode.settingsInvalid);
  return document.map(({ value }) => ({ ...value, store: value.store }));
}

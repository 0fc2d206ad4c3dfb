import type { Result } from 'ts-results-es';
import * as z from 'zod';
import type { Failure } from '../runtime/failure.js';
import type { LogLevel } from '../observability/logger.js';
import type { PeerAddress } from '../peers/peer.js';
import { ResultCode } from '../runtime/resultCode.js';
import { mapping, readYaml } from './yamlDocument.js';
import type { YamlSource } from './yamlDocument.js';

const HIGHEST_PORT = 65_535;

/** Resolved settings of a daemon: nothing is left to default. */
export interface Settings {
  /** Name of the host. */
  host: string;
  dataCentre: string;
  region: string;
  /** IP address on which the daemon listens and by which others reach it. */
  address: string;
  /** Port for calls; 0 takes a free one. */
  callPort: number;
  /** Port for control messages; 0 takes a free one. */
  peerPort: number;
  /** The platform's store; absent, the configuration comes from other daemons only. */
  store: { endpoints: string[] } | undefined;
  /** Daemons to ask first for the members. */
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
  const error = `write a port from ${from} to ${HIGHEST_PORT}, such as 7400`;
  return z.int({ error }).min(from, { error }).max(HIGHEST_PORT, { error });
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

/** Reads settings; `settingsInvalid` names file, line, path and what would be right. */
export function readSettings(source: YamlSource): Result<Settings, Failure> {
  const document = readYaml(source, settingsSchema, ResultCode.settingsInvalid);
  return document.map(({ value }) => ({ ...value, store: value.store }));
}

import { readFileSync } from 'node:fs';
import { parse } from 'yaml';
import type { LogLevel, PeerAddress } from '@shallotcroft/core';

/** Resolved settings of a daemon. */
export interface Settings {
  host: string;
  dataCentre: string;
  address: string;
  callPort: number;
  peerPort: number;
  bootstrap: PeerAddress[];
  store?: { endpoints: string[] };
  logLevel: LogLevel;
}

/** Reads settings from a YAML file. */
export function readSettings(file: string): Settings {
  const given = parse(readFileSync(file, 'utf8')) as Partial<Settings>;
  return {
    host: 'host',
    dataCentre: 'local',
    address: '127.0.0.1',
    callPort: 0,
    peerPort: 0,
    bootstrap: [],
    logLevel: 'info',
    ...given,
  };
}

import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { Configuration } from './configuration.js';

/** Values up to this size, in bytes, are written as plain JSON, which people can read in the store. */
const PLAIN_BYTES = 32 * 1024;

/** Largest configuration that is read, in bytes of JSON. */
const MAX_JSON_BYTES = 64 * 1024 * 1024;

/** The value that holds a configuration in the store: JSON, or compressed JSON as base64. */
export function encodeConfiguration(configuration: Configuration): string {
  const json = JSON.stringify(configuration);
  if (Buffer.byteLength(json) <= PLAIN_BYTES) return json;
  return deflateRawSync(json).toString('base64');
}

/** The configuration that a value holds; throws when it holds none. */
export function decodeConfiguration(value: string): Configuration {
  if (value.startsWith('{')) return JSON.parse(value) as Configuration;
  const options = { maxOutputLength: MAX_JSON_BYTES };
  const json = inflateRawSync(Buffer.from(value, 'base64'), options).toString('utf8');
  return JSON.parse(json) as Configuration;
}

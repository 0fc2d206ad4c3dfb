import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { Configuration } from './configuration.js';

/** Values up to this size, in bytes, are stored as plain JSON, to be readable in the store. */
const MAX_UNCOMPRESSED_BYTES = 32 * 1024;

/** Largest configuration accepted when decoding a compressed value, in bytes of JSON. */
const MAX_JSON_BYTES = 64 * 1024 * 1024;

/** Encodes a configuration for the store: as JSON, or as compressed JSON in base64. */
export function encodeConfiguration(configuration: Configuration): string {
  const json = JSON.stringify(configuration);
  if (Buffer.byteLength(json) <= MAX_UNCOMPRESSED_BYTES) return json;
  return deflateRawSync(json).toString('base64');
}

/** Decodes a configuration from the store; throws if the value is invalid. */
export function decodeConfiguration(value: string): Configuration {
  if (value.startsWith('{')) return JSON.parse(value) as Configuration;
  const options = { maxOutputLength: MAX_JSON_BYTES };
  const json = inflateRawSync(Buffer.from(value, 'base64'), options).toString('utf8');
  return JSON.parse(json) as Configuration;
}

import { hashText } from '../runtime/hash.js';
import type { TargetDirectory } from './targetDirectory.js';

/** Number of parts of a directory that are compared; a differing part is sent as a whole. */
const BUCKET_COUNT = 64;
const BYTES_PER_DIGEST = 4;

/** Part of the directory to which the record under `key` belongs. */
export function bucketOf(key: string): number {
  return hashText(key) % BUCKET_COUNT;
}

/** Digests of the valid records of a directory by bucket; equal for equal sets of records. */
export function directoryDigests(directory: TargetDirectory): Uint32Array {
  const digests = new Uint32Array(BUCKET_COUNT);
  directory.all().forEach(({ key, record, expiredAt }) => {
    if (expiredAt !== undefined) return;
    const bucket = bucketOf(key);
    const hash = hashText(`${key} ${record.incarnation} ${record.version}`);
    digests[bucket] = ((digests[bucket] as number) + hash) >>> 0;
  });
  return digests;
}

/** Encodes digests as base64. */
export function encodeDigests(digests: Uint32Array): string {
  const bytes = Buffer.alloc(digests.length * BYTES_PER_DIGEST);
  digests.forEach((digest, index) => bytes.writeUInt32LE(digest, index * BYTES_PER_DIGEST));
  return bytes.toString('base64');
}

/** Decodes digests; missing ones count as 0. */
export function decodeDigests(text: string): Uint32Array {
  const bytes = Buffer.from(text, 'base64');
  const count = Math.min(BUCKET_COUNT, Math.floor(bytes.length / BYTES_PER_DIGEST));
  const digests = new Uint32Array(BUCKET_COUNT);
  for (let index = 0; index < count; index++) {
    digests[index] = bytes.readUInt32LE(index * BYTES_PER_DIGEST);
  }
  return digests;
}

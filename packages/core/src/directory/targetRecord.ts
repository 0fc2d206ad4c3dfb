import * as z from 'zod';

/** Longest record that is read, in bytes; longer ones are not parsed. */
const MAX_RECORD_BYTES = 8192;
const MAX_NAME_LENGTH = 256;
const MAX_PORT = 65_535;
const MAX_SLOTS = 1_000_000;
/** Largest Unix time that a date can hold, in milliseconds. */
const MAX_UNIX_MS = 8.64e15;

/** A name or id. */
export const recordName = z.string().min(1).max(MAX_NAME_LENGTH);

/** Number of requests that a target processes at once. */
export const recordSlots = z.int().min(1).max(MAX_SLOTS);

/** Unix time in milliseconds. */
export const recordTime = z.number().min(0).max(MAX_UNIX_MS);

const recordPort = z.int().min(1).max(MAX_PORT);

const recordSchema = z.object({
  /** Id that the target reports; `startedAt` tells its restarts apart. */
  targetId: recordName,
  /** Unix time at which the target started, in milliseconds. */
  startedAt: recordTime,
  service: recordName,
  dataCentre: z.string().max(MAX_NAME_LENGTH),
  slots: recordSlots,
  state: z.enum(['ready', 'draining', 'stopping']),
  /** True when the target has deregistered; otherwise `stopping` is the state of its daemon. */
  hasTargetLeft: z.boolean().optional(),
  /** Unix time at which the target's warm-up ends, in milliseconds. */
  warmAt: recordTime,
  /** IP address of the daemon beside the target. */
  address: z.ipv4(),
  callPort: recordPort,
  peerPort: recordPort,
  /** Incarnation id of the daemon. */
  incarnation: z.string().max(MAX_NAME_LENGTH),
  /** Counts up with each change that the daemon publishes. */
  version: z.int().min(0),
});

/** Record that a daemon publishes about the target beside it. */
export type TargetRecord = z.infer<typeof recordSchema>;

/** Parses a JSON record; undefined if it is invalid. */
export function parseTargetRecord(value: string): TargetRecord | undefined {
  if (value.length > MAX_RECORD_BYTES) return undefined;
  try {
    return recordSchema.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
}

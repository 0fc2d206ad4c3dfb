import * as z from 'zod';

const recordSchema = z.object({
  /** Id of one start of the target. */
  targetId: z.string().min(1),
  /** Unix time at which the target started, in milliseconds. */
  startedAt: z.number(),
  service: z.string().min(1),
  dataCentre: z.string(),
  slots: z.int().min(1),
  state: z.enum(['ready', 'draining', 'stopping']),
  /** Unix time until which the target is slow after its start, in milliseconds. */
  warmAt: z.number(),
  /** Where the daemon beside the target takes requests. */
  address: z.string().min(1),
  callPort: z.int(),
  peerPort: z.int(),
  /** Id of the daemon's present run. */
  incarnation: z.string(),
  /** Counts up with each change that the daemon announces. */
  version: z.int(),
});

/** What a daemon publishes about the target beside it. */
export type TargetRecord = z.infer<typeof recordSchema>;

/** Reads a record from the store; undefined when it is not one. */
export function parseTargetRecord(value: string): TargetRecord | undefined {
  try {
    return recordSchema.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
}

import * as z from 'zod';

const recordSchema = z.object({
  /** Id that the target reports; `startedAt` tells its restarts apart. */
  targetId: z.string().min(1),
  /** Unix time at which the target started, in milliseconds. */
  startedAt: z.number(),
  service: z.string().min(1),
  dataCentre: z.string(),
  slots: z.int().min(1),
  state: z.enum(['ready', 'draining', 'stopping']),
  /** True when the target has deregistered; otherwise `stopping` is the state of its daemon. */
  hasTargetLeft: z.boolean().optional(),
  /** Unix time at which the target's warm-up ends, in milliseconds. */
  warmAt: z.number(),
  /** IP address of the daemon beside the target. */
  address: z.string().min(1),
  callPort: z.int(),
  peerPort: z.int(),
  /** Incarnation id of the daemon. */
  incarnation: z.string(),
  /** Counts up with each change that the daemon publishes. */
  version: z.int(),
});

/** Record that a daemon publishes about the target beside it. */
export type TargetRecord = z.infer<typeof recordSchema>;

/** Parses a JSON record; undefined if it is invalid. */
export function parseTargetRecord(value: string): TargetRecord | undefined {
  try {
    return recordSchema.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
}

import { z } from 'zod';
import { importances } from '../configuration.js';
import { resultNameOf } from '../resultCode.js';

const headersSchema = z.record(z.string(), z.string());
const bytesSchema = z.custom<Buffer>((value) => Buffer.isBuffer(value));

const requestSchema = z.object({
  attemptId: z.string().min(1),
  callerId: z.string(),
  method: z.string(),
  url: z.string().min(1),
  host: z.string(),
  headers: headersSchema,
  body: bytesSchema,
  remainingMs: z.number(),
  callerService: z.string(),
  importance: z.enum(importances),
  /** Id of the request at the root of the tree. */
  rootId: z.string(),
  /** True when another request's target made this call. */
  isInner: z.boolean(),
  route: z.string(),
  execution: z.enum(['repeatable', 'atMostOnce']),
  service: z.string().min(1),
  targetId: z.string(),
  /** Run of the daemon that the request is for; another run refuses it. */
  incarnation: z.string(),
  /** Version of the configuration that the sender has in force. */
  configurationVersion: z.number(),
  /** Port for control messages of the sender. */
  peerPort: z.int(),
});

const loadSchema = z.object({
  inFlight: z.number(),
  waiting: z.number(),
  limit: z.number(),
  /** Mean time at the target, in milliseconds. */
  serviceMs: z.number(),
});

const answerSchema = z.object({
  /** `ok` when the target answered; its answer may still be a failure of its own. */
  code: z.custom<number>((code) => typeof code === 'number' && resultNameOf(code) !== undefined),
  /** Whether any byte of the request went to the target. */
  reached: z.boolean(),
  answer: z.object({ status: z.int(), headers: headersSchema, body: bytesSchema }),
  load: loadSchema,
  shedLevel: z.number(),
  configurationVersion: z.number(),
  incarnation: z.string(),
  /** Why there is no answer of the target. */
  message: z.string(),
});

const messageSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('request'), id: z.int(), request: requestSchema }),
  z.object({ kind: z.literal('answer'), id: z.int(), answer: answerSchema }),
  z.object({ kind: z.literal('cancel'), id: z.int() }),
  z.object({ kind: z.literal('ping') }),
  z.object({ kind: z.literal('pong') }),
]);

/** A request as one daemon passes it to the daemon beside a target. */
export type HopRequest = z.infer<typeof requestSchema>;

/** How much a target has to do. */
export type TargetLoad = z.infer<typeof loadSchema>;

/** What the daemon beside a target answers. */
export type HopAnswer = z.infer<typeof answerSchema>;

/** What two daemons write on a connection between them. */
export type HopMessage = z.infer<typeof messageSchema>;

/** Reads a message of another daemon; undefined when it is not one. */
export function parseHopMessage(message: unknown): HopMessage | undefined {
  return messageSchema.safeParse(message).data;
}

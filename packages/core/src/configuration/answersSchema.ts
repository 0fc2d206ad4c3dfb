import * as z from 'zod';
import { importances } from './configuration.js';
import { mapping } from './yamlDocument.js';

const MAX_PATIENCE_MS = 600_000;
const MAX_FURTHER_ATTEMPTS = 32;
const MAX_SHARDS = 256;

/** Upper bound of upstreams, slots and connections. */
const MAX_SERVICE_SIZE = 100_000;

const MAX_BODY_KB = 16 * 1024;

const serviceName = z
  .string()
  .regex(
    /^[a-z][a-zA-Z0-9-]*$/,
    'name a service with letters, digits and hyphens, such as catalogue',
  );

const callName = z
  .string()
  .regex(
    /^[a-z][a-zA-Z0-9-]*\.[a-z][a-zA-Z0-9-]*$/,
    'name a call service.call, such as catalogue.search',
  );

function wholeNumber(from: number, to: number, example: string) {
  const error = `write a whole number from ${from} to ${to}, such as ${example}`;
  return z.int({ error }).min(from, { error }).max(to, { error });
}

function oneOf<const T extends readonly string[]>(options: T) {
  return z.enum(options, { error: `write one of: ${options.join(', ')}` });
}

const trueOrFalse = z.boolean({ error: 'write true or false' });

const serviceAnswers = mapping({
  upstreams: wholeNumber(1, MAX_SERVICE_SIZE, '4'),
  slots: wholeNumber(1, MAX_SERVICE_SIZE, '130'),
  connections: wholeNumber(1, MAX_SERVICE_SIZE, '900'),
  limit: oneOf(['adaptive', 'fixed', 'none']).optional(),
  shards: wholeNumber(1, MAX_SHARDS, '32').optional(),
});

const callAnswers = mapping({
  importance: oneOf(importances),
  mayRepeat: trueOrFalse,
  keyed: trueOrFalse.optional(),
  patienceMs: wholeNumber(1, MAX_PATIENCE_MS, '2000').optional(),
  furtherAttempts: wholeNumber(0, MAX_FURTHER_ATTEMPTS, '3').optional(),
  largestAnswerKb: wholeNumber(1, MAX_BODY_KB, '512').optional(),
  largestRequestKb: wholeNumber(1, MAX_BODY_KB, '64').optional(),
  calls: z.array(callName, { error: 'write a list of calls, such as [catalogue.hold]' }).optional(),
});

/** Schema of the answers to the questionnaire. */
export const answersSchema = mapping({
  version: z.literal(1, { error: 'write 1, the version of this questionnaire' }),
  weighsMore: oneOf(['goodput', 'recovery']),
  dataCentres: z
    .array(z.string(), { error: 'write a list of names, such as [hobart, burnie]' })
    .min(1, { error: 'name at least one data centre' }),
  services: z.record(serviceName, serviceAnswers, { error: 'write a mapping of services' }),
  calls: z.record(callName, callAnswers, { error: 'write a mapping of calls' }),
});

/** Answers of the operators to the questionnaire. */
export type Answers = z.infer<typeof answersSchema>;

/** Answers about one call. */
export type CallAnswers = z.infer<typeof callAnswers>;

/** Answers about one service. */
export type ServiceAnswers = z.infer<typeof serviceAnswers>;

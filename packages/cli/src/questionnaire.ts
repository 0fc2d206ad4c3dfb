import { importances } from '@shallotcroft/core';
import { stringify } from 'yaml';
import type { Ask } from './commandContext.js';

/** Validates one answer; returns a hint at what is expected when the answer is invalid. */
type Validate = (text: string) => string | undefined;

const validateName: Validate = (text) =>
  /^[a-z][a-zA-Z0-9-]*$/.test(text) ? undefined : 'letters, digits and hyphens, such as catalogue';

const validateCallName: Validate = (text) =>
  /^[a-z][a-zA-Z0-9-]*\.[a-z][a-zA-Z0-9-]*$/.test(text)
    ? undefined
    : 'service.call, such as catalogue.search';

const validateNumber: Validate = (text) =>
  /^[1-9][0-9]*$/.test(text) ? undefined : 'a whole number from 1 upwards';

function oneOf(options: readonly string[]): Validate {
  return (text) => (options.includes(text) ? undefined : `one of: ${options.join(', ')}`);
}

function optional(validate: Validate): Validate {
  return (text) => (text === '' ? undefined : validate(text));
}

/** Repeats a question, with a hint, until the answer is valid. */
async function askUntilValid(ask: Ask, question: string, validate: Validate): Promise<string> {
  let hint: string | undefined;
  for (;;) {
    const text = (await ask(hint ? `  (${hint}) ${question}` : question)).trim();
    hint = validate(text);
    if (!hint) return text;
  }
}

function parseList(text: string): string[] {
  return text.split(',').flatMap((part) => part.trim() || []);
}

async function askServices(ask: Ask): Promise<Record<string, object>> {
  const services: Record<string, object> = {};
  for (;;) {
    const name = await askUntilValid(
      ask,
      'Name of a service (empty: no more): ',
      optional(validateName),
    );
    if (name === '') return services;
    const askNumber = async (question: string) =>
      Number(await askUntilValid(ask, question, validateNumber));
    services[name] = {
      upstreams: await askNumber(`  How many upstreams has ${name}? `),
      slots: await askNumber('  How many calls does one of them work on at a time? '),
      connections: await askNumber('  How many connections does one of them take? '),
    };
  }
}

async function askCall(ask: Ask): Promise<object> {
  const importance = await askUntilValid(
    ask,
    `  How much does it matter (${importances.join(', ')})? `,
    oneOf(importances),
  );
  const repeat = await askUntilValid(
    ask,
    '  May it be repeated without harm (yes, no)? ',
    oneOf(['yes', 'no']),
  );
  const patience = await askUntilValid(
    ask,
    '  How long do its callers wait, in ms (empty: as the calls above it)? ',
    optional(validateNumber),
  );
  const largest = await askUntilValid(
    ask,
    '  How large may a whole answer be, in KB (empty: 1024)? ',
    optional(validateNumber),
  );
  const calls = parseList(await ask('  Which calls does it make (a, b; empty: none)? '));
  return {
    importance,
    mayRepeat: repeat === 'yes',
    ...(patience && { patienceMs: Number(patience) }),
    ...(largest && { largestAnswerKb: Number(largest) }),
    ...(calls.length > 0 && { calls }),
  };
}

/** Asks the operator every question; returns the text of the answers file (YAML). */
export async function askQuestionnaire(ask: Ask): Promise<string> {
  const weighsMore = await askUntilValid(
    ask,
    'What weighs more under overload (goodput, recovery)? ',
    oneOf(['goodput', 'recovery']),
  );
  const dataCentres = parseList(
    await askUntilValid(ask, 'Names of the data centres (a, b): ', (text) =>
      parseList(text).length > 0 ? undefined : 'at least one name',
    ),
  );
  const services = await askServices(ask);
  const calls: Record<string, object> = {};
  for (;;) {
    const name = await askUntilValid(
      ask,
      'Name of a call (empty: no more): ',
      optional(validateCallName),
    );
    if (name === '') break;
    calls[name] = await askCall(ask);
  }
  return stringify({ version: 1, weighsMore, dataCentres, services, calls });
}

import { importances } from '@shallotcroft/core';
import { stringify } from 'yaml';
import type { Ask } from './commandContext.js';

/** Checks one answer; returns what would be right when it is wrong. */
type Rule = (text: string) => string | undefined;

const isName: Rule = (text) =>
  /^[a-z][a-zA-Z0-9-]*$/.test(text) ? undefined : 'letters, digits and hyphens, such as catalogue';

const isCallName: Rule = (text) =>
  /^[a-z][a-zA-Z0-9-]*\.[a-z][a-zA-Z0-9-]*$/.test(text)
    ? undefined
    : 'service.call, such as catalogue.search';

const isNumber: Rule = (text) =>
  /^[1-9][0-9]*$/.test(text) ? undefined : 'a whole number from 1 upwards';

function oneOf(options: readonly string[]): Rule {
  return (text) => (options.includes(text) ? undefined : `one of: ${options.join(', ')}`);
}

function optional(rule: Rule): Rule {
  return (text) => (text === '' ? undefined : rule(text));
}

/** Asks until the answer follows the rule. */
async function askUntil(ask: Ask, question: string, rule: Rule): Promise<string> {
  let hint: string | undefined;
  for (;;) {
    const text = (await ask(hint ? `  (${hint}) ${question}` : question)).trim();
    hint = rule(text);
    if (!hint) return text;
  }
}

function listOf(text: string): string[] {
  return text.split(',').flatMap((part) => part.trim() || []);
}

async function askServices(ask: Ask): Promise<Record<string, object>> {
  const services: Record<string, object> = {};
  for (;;) {
    const name = await askUntil(ask, 'Name of a service (empty: no more): ', optional(isName));
    if (name === '') return services;
    const number = async (question: string) => Number(await askUntil(ask, question, isNumber));
    services[name] = {
      upstreams: await number(`  How many upstreams has ${name}? `),
      slots: await number('  How many calls does one of them work on at a time? '),
      connections: await number('  How many connections does one of them take? '),
    };
  }
}

async function askCall(ask: Ask): Promise<object> {
  const importance = await askUntil(
    ask,
    `  How much does it matter (${importances.join(', ')})? `,
    oneOf(importances),
  );
  const repeat = await askUntil(
    ask,
    '  May it be repeated without harm (yes, no)? ',
    oneOf(['yes', 'no']),
  );
  const patience = await askUntil(
    ask,
    '  How long do its callers wait, in ms (empty: as the calls above it)? ',
    optional(isNumber),
  );
  const largest = await askUntil(
    ask,
    '  How large may a whole answer be, in KB (empty: 1024)? ',
    optional(isNumber),
  );
  const calls = listOf(await ask('  Which calls does it make (a, b; empty: none)? '));
  return {
    importance,
    mayRepeat: repeat === 'yes',
    ...(patience && { patienceMs: Number(patience) }),
    ...(largest && { largestAnswerKb: Number(largest) }),
    ...(calls.length > 0 && { calls }),
  };
}

/** Asks the questionnaire; returns the answers as YAML. */
export async function askQuestionnaire(ask: Ask): Promise<string> {
  const weighsMore = await askUntil(
    ask,
    'What weighs more under overload (goodput, recovery)? ',
    oneOf(['goodput', 'recovery']),
  );
  const dataCentres = listOf(
    await askUntil(ask, 'Names of the data centres (a, b): ', (text) =>
      listOf(text).length > 0 ? undefined : 'at least one name',
    ),
  );
  const services = await askServices(ask);
  const calls: Record<string, object> = {};
  for (;;) {
    const name = await askUntil(ask, 'Name of a call (empty: no more): ', optional(isCallName));
    if (name === '') break;
    calls[name] = await askCall(ask);
  }
  return stringify({ version: 1, weighsMore, dataCentres, services, calls });
}

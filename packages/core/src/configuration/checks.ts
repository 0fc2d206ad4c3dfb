import type { Answers, CallAnswers } from './answersSchema.js';
import { findCycle, parentIndexOf } from './callGraph.js';
import { callGraphOf, deadlinesOf, isKeyed } from './generate.js';
import type { YamlProblem } from './yamlDocument.js';

type CallEntry = [name: string, call: CallAnswers];

/** Data that the checks of a single call share. */
interface CheckContext {
  answers: Answers;
  parents: Map<string, string[]>;
  deadlines: Record<string, number>;
}

function checkService(answers: Answers, [name]: CallEntry): YamlProblem[] {
  const service = name.split('.', 1)[0] as string;
  if (answers.services[service]) return [];
  const known = Object.keys(answers.services).join(', ');
  const message = `the service ${service} is not described; add it under services, or use one of: ${known}`;
  return [{ path: ['calls', name], message }];
}

function checkChildren(answers: Answers, [name, call]: CallEntry): YamlProblem[] {
  return (call.calls ?? []).flatMap((child, index, children) => {
    const path = ['calls', name, 'calls', index];
    if (!answers.calls[child]) {
      return [{ path, message: `the call ${child} is not described; add it under calls` }];
    }
    if (children.indexOf(child) === index) return [];
    return [{ path, message: `${child} is listed twice; list it once` }];
  });
}

function checkRoot(parents: Map<string, string[]>, [name, call]: CallEntry): YamlProblem[] {
  if (call.patienceMs !== undefined || parents.has(name)) return [];
  const message = 'no other call makes this one; add patienceMs, how long its callers wait';
  return [{ path: ['calls', name], message }];
}

function checkPatience(context: CheckContext, [name, call]: CallEntry): YamlProblem[] {
  return (context.parents.get(name) ?? []).flatMap((parent) => {
    const parentDeadlineMs = context.deadlines[parent] as number;
    if (call.patienceMs === undefined || call.patienceMs <= parentDeadlineMs) return [];
    const message = `its caller ${parent} waits only ${parentDeadlineMs} ms; write ${parentDeadlineMs} or less, or leave it out`;
    return [{ path: ['calls', name, 'patienceMs'], message }];
  });
}

/** Keys are derived from the parent's key, so every call from the root down must be keyed. */
function checkKeys(context: CheckContext, [name, call]: CallEntry): YamlProblem[] {
  if (!isKeyed(call)) return [];
  return (context.parents.get(name) ?? []).flatMap((parent) => {
    if (isKeyed(context.answers.calls[parent] as CallAnswers)) return [];
    const message =
      `its caller ${parent} may be repeated and has no key, so a repetition would run ${name} again; ` +
      `write keyed: true or mayRepeat: false at ${parent}`;
    return [{ path: ['calls', name, call.mayRepeat ? 'keyed' : 'mayRepeat'], message }];
  });
}

/** Checks what the schema can't express: references, cycles, deadlines and keys. */
export function checkAnswers(answers: Answers): YamlProblem[] {
  const entries = Object.entries(answers.calls);
  const undescribed = entries.flatMap((entry) => [
    ...checkService(answers, entry),
    ...checkChildren(answers, entry),
  ]);
  if (undescribed.length > 0) return undescribed;
  const graph = callGraphOf(answers);
  const cycle = findCycle(graph);
  if (cycle) {
    const message = `the calls form a cycle: ${cycle.join(' → ')}; remove one of these child calls`;
    return [{ path: ['calls', cycle[0] as string, 'calls'], message }];
  }
  const parents = parentIndexOf(graph);
  const roots = entries.flatMap((entry) => checkRoot(parents, entry));
  if (roots.length > 0) return roots;
  const context = { answers, parents, deadlines: deadlinesOf(answers) };
  return entries.flatMap((entry) => [
    ...checkPatience(context, entry),
    ...checkKeys(context, entry),
  ]);
}

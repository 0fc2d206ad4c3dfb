import type { Answers, CallAnswers } from './answersSchema.js';
import { findCycle, parentIndexOf } from './callGraph.js';
import { callGraphOf, deadlinesOf, isKeyed } from './generate.js';
import type { YamlProblem } from './yamlDocument.js';

type CallEntry = [name: string, call: CallAnswers];

/** What the checks of one call look things up in. */
interface CheckedGraph {
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
    return [{ path, message: `${child} stands here twice; name it once` }];
  });
}

function checkRoot(parents: Map<string, string[]>, [name, call]: CallEntry): YamlProblem[] {
  if (call.patienceMs !== undefined || parents.has(name)) return [];
  const message = 'no other call makes this one, so say how long its callers wait: patienceMs';
  return [{ path: ['calls', name], message }];
}

function checkPatience(graph: CheckedGraph, [name, call]: CallEntry): YamlProblem[] {
  return (graph.parents.get(name) ?? []).flatMap((parent) => {
    const longest = graph.deadlines[parent] as number;
    if (call.patienceMs === undefined || call.patienceMs <= longest) return [];
    const message = `its caller ${parent} waits ${longest} ms only; write ${longest} or less, or leave it out`;
    return [{ path: ['calls', name, 'patienceMs'], message }];
  });
}

/** A key is derived from the parent's, so the chain of keys must reach up to the root. */
function checkKeys(graph: CheckedGraph, [name, call]: CallEntry): YamlProblem[] {
  if (!isKeyed(call)) return [];
  return (graph.parents.get(name) ?? []).flatMap((parent) => {
    if (isKeyed(graph.answers.calls[parent] as CallAnswers)) return [];
    const message =
      `its caller ${parent} may be repeated and carries no key, so a repetition would run ${name} again; ` +
      `write keyed: true or mayRepeat: false at ${parent}`;
    return [{ path: ['calls', name, call.mayRepeat ? 'keyed' : 'mayRepeat'], message }];
  });
}

/** What is wrong with answers whose shape is right. */
export function checkAnswers(answers: Answers): YamlProblem[] {
  const entries = Object.entries(answers.calls);
  const unknown = entries.flatMap((entry) => [
    ...checkService(answers, entry),
    ...checkChildren(answers, entry),
  ]);
  if (unknown.length > 0) return unknown;
  const graph = callGraphOf(answers);
  const cycle = findCycle(graph);
  if (cycle) {
    const message = `the calls go round in a circle: ${cycle.join(' → ')}; take one of these steps out`;
    return [{ path: ['calls', cycle[0] as string, 'calls'], message }];
  }
  const parents = parentIndexOf(graph);
  const roots = entries.flatMap((entry) => checkRoot(parents, entry));
  if (roots.length > 0) return roots;
  const checked = { answers, parents, deadlines: deadlinesOf(answers) };
  return entries.flatMap((entry) => [
    ...checkPatience(checked, entry),
    ...checkKeys(checked, entry),
  ]);
}

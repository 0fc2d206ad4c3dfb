import type { CallPolicy, Configuration, ServicePolicy } from './configuration.js';

/** One difference between two configurations. */
export interface Change {
  kind: 'added' | 'removed' | 'changed';
  /** Path of the changed field or policy, such as `calls.catalogue.search.deadlineMs`. */
  path: string;
  before?: string;
  after?: string;
}

type Policy = CallPolicy | ServicePolicy;

function textOf(value: unknown): string {
  return Array.isArray(value) ? `[${value.join(', ')}]` : String(value);
}

function summaryOf(policy: Policy): string {
  const fields = Object.entries(policy).filter(
    ([field]) => field !== 'name' && field !== 'service',
  );
  return fields.map(([field, value]) => `${field} ${textOf(value)}`).join(', ');
}

function changesOfFields(path: string, before: object, after: object): Change[] {
  const old = new Map<string, unknown>(Object.entries(before));
  const fields = new Map<string, unknown>(Object.entries(after));
  return [...new Set([...old.keys(), ...fields.keys()])].flatMap((field): Change[] => {
    const [was, is] = [textOf(old.get(field)), textOf(fields.get(field))];
    if (was === is) return [];
    return [{ kind: 'changed', path: `${path}.${field}`, before: was, after: is }];
  });
}

function changesOfPolicies(
  path: string,
  before: Record<string, Policy>,
  after: Record<string, Policy>,
): Change[] {
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
  return names.flatMap((name): Change[] => {
    const [was, is] = [before[name], after[name]];
    const policyPath = `${path}.${name}`;
    if (was && is) return changesOfFields(policyPath, was, is);
    if (was) return [{ kind: 'removed', path: policyPath, before: summaryOf(was) }];
    return is ? [{ kind: 'added', path: policyPath, after: summaryOf(is) }] : [];
  });
}

/** Differences from one configuration to another, without revision and change id. */
export function differenceOf(before: Configuration | undefined, after: Configuration): Change[] {
  const objective: Change[] =
    before && before.objective !== after.objective
      ? [{ kind: 'changed', path: 'objective', before: before.objective, after: after.objective }]
      : [];
  return [
    ...objective,
    ...changesOfPolicies('services', before?.services ?? {}, after.services),
    ...changesOfPolicies('calls', before?.calls ?? {}, after.calls),
  ];
}

/** One line that describes a change to operators. */
export function textOfChange(change: Change): string {
  if (change.kind === 'added') return `+ ${change.path}: ${change.after}`;
  if (change.kind === 'removed') return `- ${change.path}: ${change.before}`;
  return `~ ${change.path}: ${change.before} → ${change.after}`;
}

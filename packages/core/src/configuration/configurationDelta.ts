import type { CallPolicy, Configuration, ServicePolicy } from './configuration.js';

/** Version of the configuration: revision number and id of the change that created it. */
export interface ConfigurationVersion {
  revision: number;
  changeId: string;
}

/** Difference between a revision and a later one; null marks a removed entry. */
export interface ConfigurationDelta {
  from: ConfigurationVersion;
  to: ConfigurationVersion;
  /** All other fields of the later revision. */
  rest: Omit<Configuration, 'services' | 'calls'>;
  services: Record<string, ServicePolicy | null>;
  calls: Record<string, CallPolicy | null>;
}

function changedEntries<T>(
  before: Record<string, T>,
  after: Record<string, T>,
): Record<string, T | null> {
  const changed: Record<string, T | null> = {};
  Object.entries(after).forEach(([name, entry]) => {
    if (JSON.stringify(before[name]) !== JSON.stringify(entry)) changed[name] = entry;
  });
  Object.keys(before).forEach((name) => {
    if (!(name in after)) changed[name] = null;
  });
  return changed;
}

function applyChanges<T>(
  before: Record<string, T>,
  changed: Record<string, T | null>,
): Record<string, T> {
  const after = { ...before };
  Object.entries(changed).forEach(([name, entry]) => {
    if (entry === null) delete after[name];
    else after[name] = entry;
  });
  return after;
}

/** Version of a configuration. */
export function configurationVersionOf({
  revision,
  changeId,
}: Configuration): ConfigurationVersion {
  return { revision, changeId };
}

/** Creates the delta from one revision to a later one. */
export function createConfigurationDelta(
  before: Configuration,
  after: Configuration,
): ConfigurationDelta {
  const { services, calls, ...rest } = after;
  return {
    from: configurationVersionOf(before),
    to: configurationVersionOf(after),
    rest,
    services: changedEntries(before.services, services),
    calls: changedEntries(before.calls, calls),
  };
}

/** Applies a delta; undefined if it starts from another revision. */
export function applyConfigurationDelta(
  before: Configuration,
  delta: ConfigurationDelta,
): Configuration | undefined {
  const isMatchingBase =
    before.revision === delta.from.revision && before.changeId === delta.from.changeId;
  if (!isMatchingBase) return undefined;
  return {
    ...delta.rest,
    services: applyChanges(before.services, delta.services),
    calls: applyChanges(before.calls, delta.calls),
  };
}

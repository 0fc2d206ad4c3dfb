import type { CallPolicy, Configuration, ServicePolicy } from './configuration.js';

/** One change of the configuration, by its number and the unique id of the change. */
export interface ConfigurationVersion {
  revision: number;
  changeId: string;
}

/** What turns one revision into a later one; null stands for a removed entry. */
export interface ConfigurationDelta {
  from: ConfigurationVersion;
  to: ConfigurationVersion;
  /** Everything but the services and the calls. */
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

function withChanges<T>(
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

/** Number and change id of a configuration. */
export function configurationVersionOf({
  revision,
  changeId,
}: Configuration): ConfigurationVersion {
  return { revision, changeId };
}

/** The difference between two revisions. */
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

/** Applies a difference; undefined when it was made for another revision. */
export function applyConfigurationDelta(
  before: Configuration,
  delta: ConfigurationDelta,
): Configuration | undefined {
  const fits = before.revision === delta.from.revision && before.changeId === delta.from.changeId;
  if (!fits) return undefined;
  return {
    ...delta.rest,
    services: withChanges(before.services, delta.services),
    calls: withChanges(before.calls, delta.calls),
  };
}

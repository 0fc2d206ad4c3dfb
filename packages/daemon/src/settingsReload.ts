import type { Logger } from '@shallotcroft/core';
import type { ForwardingSettings } from './forwardingSettings.js';

/** Settings that a running daemon applies on reload; all others need a restart. */
const reloadableSettings = new Set<string>(['retry', 'stopTimeoutSeconds']);

/** Names of the top-level settings that differ. */
function changedNames(before: ForwardingSettings, after: ForwardingSettings): string[] {
  const names = Object.keys(after) as (keyof ForwardingSettings)[];
  return names.filter((name) => JSON.stringify(before[name]) !== JSON.stringify(after[name]));
}

/** Settings after a reload, in which those that need a restart keep their values. */
export function reloadSettings(
  before: ForwardingSettings,
  after: ForwardingSettings,
  logger: Logger,
): ForwardingSettings {
  const changed = changedNames(before, after);
  const restartRequired = changed.filter((name) => !reloadableSettings.has(name));
  logger.log(restartRequired.length === 0 ? 'info' : 'warn', 'settings reloaded', {
    changed: changed.join(' '),
    needRestart: restartRequired.join(' '),
  });
  return { ...before, retry: after.retry, stopTimeoutSeconds: after.stopTimeoutSeconds };
}

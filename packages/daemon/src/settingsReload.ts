import type { Logger } from '@shallotcroft/core';
import type { ForwardingSettings } from './forwardingSettings.js';

/** Settings that a running daemon takes over; all others need a restart. */
const liveSettings = new Set<string>(['retry', 'stopTimeoutSeconds']);

/** Names of the settings that differ. */
function changedNames(before: ForwardingSettings, after: ForwardingSettings): string[] {
  const names = Object.keys(after) as (keyof ForwardingSettings)[];
  return names.filter((name) => JSON.stringify(before[name]) !== JSON.stringify(after[name]));
}

/** Settings in force after a reload: those that need a restart keep their values. */
export function reloadSettings(
  before: ForwardingSettings,
  after: ForwardingSettings,
  logger: Logger,
): ForwardingSettings {
  const changed = changedNames(before, after);
  const waiting = changed.filter((name) => !liveSettings.has(name));
  logger.log(waiting.length === 0 ? 'info' : 'warn', 'settings reloaded', {
    changed: changed.join(' '),
    needRestart: waiting.join(' '),
  });
  return { ...before, retry: after.retry, stopTimeoutSeconds: after.stopTimeoutSeconds };
}

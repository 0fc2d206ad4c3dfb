import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { LogFields, Logger } from '@shallotcroft/core';
import { parseForwardingSettings } from '../forwardingSettings.js';
import type { ForwardingSettings } from '../forwardingSettings.js';
import { reloadSettings } from '../settingsReload.js';

const text = `
host: one
dataCentre: hobart
address: 10.0.0.1
service: books
target: 10.0.0.1:8000
listen:
  requests: 10.0.0.1:8001
  readiness: 10.0.0.1:8002
  heartbeats: 10.0.0.1:8003
  callPort: 7000
  peerPort: 7001
  metricsPort: 7002
store: 10.0.0.9:8009
`;

function settingsOf(more: string): ForwardingSettings {
  return parseForwardingSettings({ file: 'settings.yaml', text: text + more }).unwrap();
}

function reload(more: string): { settings: ForwardingSettings; fields: LogFields } {
  let fields: LogFields = {};
  const logger: Logger = {
    log: (_level, _message, logged) => {
      fields = logged ?? {};
    },
  };
  return { settings: reloadSettings(settingsOf(''), settingsOf(more), logger), fields };
}

test('a reload applies retry bounds and the stop timeout', () => {
  const { settings, fields } = reload('stopTimeoutSeconds: 9\nretry: { ratio: 0.1, spare: 5 }');
  assert.deepEqual(settings.retry, { ratio: 0.1, spare: 5 });
  assert.equal(settings.stopTimeoutSeconds, 9);
  assert.deepEqual(fields, { changed: 'stopTimeoutSeconds retry', needRestart: '' });
});

test('a reload keeps the old values of settings that need a restart, and logs their names', () => {
  const { settings, fields } = reload('logLevel: debug');
  assert.equal(settings.logLevel, 'info');
  assert.deepEqual(fields, { changed: 'logLevel', needRestart: 'logLevel' });
});

import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { EventEmitter } from 'node:events';
import { copyFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { test } from 'node:test';
import { receiveSignals } from '../processSignals.js';

const loader = path.resolve(import.meta.dirname, '../../../../scripts/loadBundle.cjs');
const LOADED_EXIT_CODE = 7;

test('signals that arrive before the daemon runs are handled once it does', () => {
  const source = new EventEmitter();
  const signals = receiveSignals(source);
  const handled: string[] = [];
  source.emit('SIGHUP');
  source.emit('SIGHUP');
  assert.equal(handled.length, 0);
  signals.handleWith({
    reload: () => handled.push('reload'),
    stop: () => handled.push('stop'),
  });
  assert.deepEqual(handled, ['reload']);
  source.emit('SIGHUP');
  source.emit('SIGTERM');
  source.emit('SIGTERM');
  assert.deepEqual(handled, ['reload', 'reload', 'stop']);
});

// A change of the settings in the first tenth of a second after the start ended the process.
test('a SIGHUP while the program is being loaded does not end the process', () => {
  const folder = mkdtempSync(path.join(os.tmpdir(), 'shallotcroft-loader-'));
  const start = path.join(folder, 'shallotcroft.cjs');
  copyFileSync(loader, start);
  writeFileSync(
    path.join(folder, 'daemon.cjs'),
    `process.kill(process.pid, 'SIGHUP'); setTimeout(() => process.exit(${LOADED_EXIT_CODE}), 20);`,
  );
  const { status, signal } = spawnSync(process.execPath, [start]);
  rmSync(folder, { recursive: true });
  assert.equal(signal, null);
  assert.equal(status, LOADED_EXIT_CODE);
});

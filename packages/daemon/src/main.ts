#!/usr/bin/env node
import { readFileSync } from 'node:fs';
import { cac } from 'cac';
import {
  Err,
  EtcdStore,
  ResultCode,
  createFailure,
  createLogger,
  parseSettings,
  systemClock,
  systemRandom,
} from '@shallotcroft/core';
import type { Failure, Result, Settings, Store } from '@shallotcroft/core';
import { startDaemon } from './daemon.js';
import { keepRunningOnErrors } from './unexpectedErrors.js';
import type { Daemon } from './daemon.js';

const VERSION = '0.1.0';
/** Exit code for invalid settings; see docs/reference/cli.md. */
const EXIT_SETTINGS = 4;
const EXIT_FAILED = 5;

function fail(exitCode: number, message: string): never {
  process.stderr.write(`${message}\n`);
  process.exit(exitCode);
}

function readSettingsFile(file: string): Result<Settings, Failure> {
  try {
    return parseSettings({ file, text: readFileSync(file, 'utf8') });
  } catch (error) {
    const message = `cannot read ${file}: ${(error as Error).message}`;
    return Err(createFailure(ResultCode.settingsInvalid, message));
  }
}

function openStore({ store }: Settings): Store | undefined {
  if (!store) return undefined;
  return new EtcdStore({
    endpoints: store.endpoints,
    clock: systemClock,
    random: systemRandom,
  });
}

function stopOnSignals(daemon: Daemon): void {
  const stop = (): void => {
    daemon.stop().then(
      () => process.exit(0),
      () => process.exit(EXIT_FAILED),
    );
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}

async function run(settingsFile: string): Promise<void> {
  const read = readSettingsFile(settingsFile);
  if (read.isErr()) fail(EXIT_SETTINGS, `${read.error.code} ${read.error.message}`);
  const settings = read.value;
  const logger = createLogger(settings.logLevel, { host: settings.host });
  keepRunningOnErrors(logger);
  const store = openStore(settings);
  const daemon = await startDaemon({
    settings,
    logger,
    clock: systemClock,
    random: systemRandom,
    ...(store ? { store } : {}),
    onDisplaced: () =>
      fail(EXIT_FAILED, 'another daemon has taken over this address; restart this one'),
  });
  process.stdout.write(`${JSON.stringify({ listening: daemon.settings })}\n`);
  stopOnSignals(daemon);
}

const program = cac('shallotcroftd');
program
  .command('', 'Run the daemon beside a target')
  .option('--settings <file>', 'YAML file with the settings of this daemon')
  .example('  shallotcroftd --settings daemon.yaml')
  .action(async (flags: { settings?: string }) => {
    if (!flags.settings) fail(EXIT_SETTINGS, 'no settings file: shallotcroftd --settings FILE');
    await run(flags.settings).catch((error: unknown) => {
      fail(EXIT_FAILED, `daemon failed to start: ${(error as Error).message}`);
    });
  });
program.help();
program.version(VERSION);
program.parse();

#!/usr/bin/env node
import { cac } from 'cac';
import { EtcdStore, createLogger, systemClock, systemRandom } from '@shallotcroft/core';
import { startDaemon } from './daemon.js';
import { readSettings } from './settings.js';

const VERSION = '0.1.0';

async function run(settingsFile: string): Promise<void> {
  const settings = readSettings(settingsFile);
  const logger = createLogger(settings.logLevel, { host: settings.host });
  const store =
    settings.store &&
    new EtcdStore({
      endpoints: settings.store.endpoints,
      clock: systemClock,
      random: systemRandom,
    });
  const daemon = await startDaemon({
    settings,
    logger,
    clock: systemClock,
    random: systemRandom,
    ...(store ? { store } : {}),
  });
  process.stdout.write(`${JSON.stringify({ listening: daemon.settings })}\n`);
  const stop = (): void => {
    daemon.stop().then(
      () => process.exit(0),
      () => process.exit(1),
    );
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}

const program = cac('shallotcroftd');
program
  .command('', 'Run the daemon beside a target')
  .option('--settings <file>', 'YAML file with the settings of this daemon')
  .example('  shallotcroftd --settings daemon.yaml')
  .action(async (flags: { settings?: string }) => {
    if (!flags.settings) {
      process.stderr.write('give the settings: shallotcroftd --settings FILE\n');
      process.exit(4);
    }
    await run(flags.settings);
  });
program.help();
program.version(VERSION);
program.parse();

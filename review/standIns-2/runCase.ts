import { writeFileSync } from 'node:fs';
import { Deployment } from './deployment.js';

const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;
/** Time after which a case ends in any case, in milliseconds. */
const TIMEOUT_MS = 110_000;
const RECORD_FILE = 'record.txt';

/** Plays a case with or without its disruption; resolves with what has broken the rule. */
export type Play = (deployment: Deployment, hasTrouble: boolean) => Promise<string[]>;

/** Plays a case, writes the record into the present folder and ends the process with the result. */
export async function runCase(play: Play): Promise<void> {
  const deployment = new Deployment();
  const { record } = deployment;
  const end = (code: number): void => {
    writeFileSync(RECORD_FILE, record.text());
    deployment.machines.forEach(({ daemon }) => daemon.kill());
    process.exit(code);
  };
  process.once('SIGTERM', () => end(NOT_RUN));
  process.once('SIGINT', () => end(NOT_RUN));
  setTimeout(() => end(NOT_RUN), TIMEOUT_MS).unref();
  try {
    const broken = await play(deployment, process.env.TROUBLE !== '0');
    const isHeld = broken.length === 0;
    const result = isHeld ? 'the rule held' : `the rule was broken: ${broken.join('; ')}`;
    record.add('result', { result });
    process.stdout.write(`${result}\n`);
    await deployment.stop();
    end(isHeld ? HELD : BROKEN);
  } catch (error) {
    const result = `the case could not run: ${(error as Error).message}`;
    record.add('result', { result });
    process.stderr.write(`${result}\n`);
    await deployment.stop().catch(() => undefined);
    end(NOT_RUN);
  }
}

import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';

/** A process of the playground that listens. */
export interface PlaygroundProcess {
  name: string;
  child: ChildProcess;
  /** What the process said in its first line. */
  ready: unknown;
  /** Ends the process with a signal and waits for its end; resolves with the exit code. */
  end(signal: NodeJS.Signals): Promise<number | null>;
}

function exitOf(child: ChildProcess): Promise<number | null> {
  if (child.exitCode !== null || child.signalCode !== null) return Promise.resolve(child.exitCode);
  return new Promise((resolve) => {
    child.once('exit', resolve);
  });
}

function firstLine(name: string, child: ChildProcess): Promise<string> {
  return new Promise((resolve, reject) => {
    child.once('error', reject);
    child.once('exit', (code) =>
      reject(new Error(`${name} ended with ${code} before it listened`)),
    );
    if (!child.stdout) return;
    createInterface({ input: child.stdout }).once('line', resolve);
  });
}

/** Starts a program of this workspace and waits for the JSON line that tells where it listens. */
export async function startProcess(
  name: string,
  program: string,
  args: string[],
): Promise<PlaygroundProcess> {
  const child = spawn(process.execPath, [program, ...args], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const ready: unknown = JSON.parse(await firstLine(name, child));
  return {
    name,
    child,
    ready,
    end: async (signal) => {
      child.kill(signal);
      return exitOf(child);
    },
  };
}

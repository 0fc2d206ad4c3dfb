import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';

/** A child process of the playground that is listening. */
export interface PlaygroundProcess {
  name: string;
  child: ChildProcess;
  /** First line that the process printed, parsed as JSON. */
  ready: unknown;
  /** Sends a signal and waits for the exit; resolves with the exit code, null after a signal. */
  end(signal: NodeJS.Signals): Promise<number | null>;
}

function waitForExit(child: ChildProcess): Promise<number | null> {
  if (child.exitCode !== null || child.signalCode !== null) return Promise.resolve(child.exitCode);
  return new Promise((resolve) => {
    child.once('exit', resolve);
  });
}

function readFirstLine(name: string, child: ChildProcess): Promise<string> {
  return new Promise((resolve, reject) => {
    child.once('error', reject);
    child.once('exit', (code) =>
      reject(new Error(`process ${name} exited with code ${code} before it was listening`)),
    );
    if (!child.stdout) return;
    createInterface({ input: child.stdout }).once('line', resolve);
  });
}

/**
 * Starts a program of this workspace and waits for its first line, JSON with the ports that it
 * listens on. Rejects when the process exits before.
 */
export async function startProcess(
  name: string,
  program: string,
  args: string[],
): Promise<PlaygroundProcess> {
  const child = spawn(process.execPath, [program, ...args], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const ready: unknown = JSON.parse(await readFirstLine(name, child));
  return {
    name,
    child,
    ready,
    end: async (signal) => {
      child.kill(signal);
      return waitForExit(child);
    },
  };
}

import { Err, Ok, ResultCode, createFailure, createSeededRandom } from '@shallotcroft/core';
import type { ManualClock, PeerCaller, MemoryStore } from '@shallotcroft/core';
import { runProgram } from '@shallotcroft/cli';
import type { CommandContext } from '@shallotcroft/cli';

/** Responses of daemons by `address:port` and method; a method without an entry is unreachable. */
export type DaemonResponses = Map<string, Record<string, unknown>>;

/** Simulated operator's terminal: runs commands in this process and records a transcript. */
export class OperatorTerminal {
  readonly transcript: string[] = [];

  readonly files = new Map<string, string>();

  /** Store sessions that the next commands open, in order; later ones get a session without faults. */
  readonly nextStores: MemoryStore[] = [];

  /** Lines that the operator types at prompts, in order. */
  typedAnswers: string[] = [];

  readonly daemonResponses: DaemonResponses = new Map();

  private readonly random;

  constructor(
    private readonly name: string,
    private readonly clock: ManualClock,
    private readonly store: MemoryStore,
    seed: number,
    transcript?: string[],
  ) {
    this.random = createSeededRandom(seed);
    if (transcript) this.transcript = transcript;
  }

  /** Runs one command line and returns its exit code; advances the clock while it runs. */
  async run(line: string): Promise<number> {
    this.transcript.push('', `${this.name}$ shallotcroft ${line}`);
    let isDone = false;
    const work = runProgram(line.split(' '), this.context()).finally(() => {
      isDone = true;
    });
    while (!isDone) await this.clock.advance(1000);
    const code = await work;
    this.transcript.push(`[exit ${code}]`);
    return code;
  }

  /** Replaces text in a file and notes the change in the transcript. */
  edit(file: string, from: string, to: string): void {
    const text = this.files.get(file) ?? '';
    if (!text.includes(from)) throw new Error(`${file} does not contain ${from}`);
    this.files.set(file, text.replace(from, to));
    this.note(`${this.name}: ${file}: "${from.trim()}" becomes "${to.trim()}"`);
  }

  /** Adds a line about an event outside the commands to the transcript. */
  note(text: string): void {
    this.transcript.push('', text);
  }

  private context(): CommandContext {
    const peers: PeerCaller = {
      call: async <T>(to: { address: string; port: number }, method: string) => {
        const answer = this.daemonResponses.get(`${to.address}:${to.port}`)?.[method];
        if (answer !== undefined) return Ok(answer as T);
        const message = `${method} at ${to.address}:${to.port}: no answer`;
        return Err(createFailure(ResultCode.daemonUnreachable, message));
      },
      close: () => Promise.resolve(),
    };
    return {
      output: {
        print: (text) => this.transcript.push(...text.split('\n')),
        printError: (line) => this.transcript.push(`! ${line}`),
      },
      files: {
        read: (file) => this.files.get(file),
        write: (file, text) => this.files.set(file, text),
      },
      variables: {
        SHALLOTCROFT_STORE: 'http://10.0.0.1:2379',
        SHALLOTCROFT_DAEMON: '10.0.0.7:7401',
      },
      clock: this.clock,
      random: this.random,
      peers,
      ask: async (question) => {
        const typed = this.typedAnswers.shift() ?? '';
        this.transcript.push(`${question}${typed}`);
        return typed;
      },
      openStore: () => this.nextStores.shift() ?? this.store.session(),
    };
  }
}

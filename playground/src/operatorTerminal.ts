import { Err, Ok, ResultCode, createFailure, createSeededRandom } from '@shallotcroft/core';
import type { ManualClock, PeerCaller, MemoryStore } from '@shallotcroft/core';
import { runProgram } from '@shallotcroft/cli';
import type { CommandContext } from '@shallotcroft/cli';

/** Answers of daemons by `address:port` and method; what is missing does not answer. */
export type DaemonAnswers = Map<string, Record<string, unknown>>;

/** An operator at a terminal: commands run in this process and are written to a transcript. */
export class OperatorTerminal {
  readonly transcript: string[] = [];

  readonly files = new Map<string, string>();

  /** Sessions with the store that the next commands open, in order; else sessions without faults. */
  readonly nextStores: MemoryStore[] = [];

  /** What the operator types when asked. */
  typed: string[] = [];

  readonly daemons: DaemonAnswers = new Map();

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

  /** Runs one command line and returns its exit code; time goes on while it runs. */
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

  /** Changes a file as an editor would. */
  edit(file: string, from: string, to: string): void {
    const text = this.files.get(file) ?? '';
    if (!text.includes(from)) throw new Error(`${file} does not contain ${from}`);
    this.files.set(file, text.replace(from, to));
    this.note(`${this.name}: ${file}: "${from.trim()}" becomes "${to.trim()}"`);
  }

  /** Writes down what happens besides the commands. */
  note(text: string): void {
    this.transcript.push('', text);
  }

  private context(): CommandContext {
    const peers: PeerCaller = {
      call: async <T>(to: { address: string; port: number }, method: string) => {
        const answer = this.daemons.get(`${to.address}:${to.port}`)?.[method];
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
        const typed = this.typed.shift() ?? '';
        this.transcript.push(`${question}${typed}`);
        return typed;
      },
      openStore: () => this.nextStores.shift() ?? this.store.session(),
    };
  }
}

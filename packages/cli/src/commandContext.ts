import { Err, Ok, ResultCode, createFailure, parseAnswers } from '@shallotcroft/core';
import type {
  Answers,
  Clock,
  Failure,
  PeerAddress,
  PeerCaller,
  RandomSource,
  Result,
  ResultNumber,
  Store,
} from '@shallotcroft/core';
import type { Output } from './output.js';

/** Answers file that commands use without `--answers`. */
export const DEFAULT_ANSWERS_FILE = 'answers.yaml';

/** Environment variable with the URLs of the store, used without `--store`. */
export const STORE_VARIABLE = 'SHALLOTCROFT_STORE';

/** Environment variable with the address and peer port of a daemon, used without `--daemon`. */
export const DAEMON_VARIABLE = 'SHALLOTCROFT_DAEMON';

const MAX_PORT = 65_535;

/** File access of commands. */
export interface Files {
  /** Returns the text of a file, or undefined when it does not exist. */
  read(file: string): string | undefined;
  write(file: string, text: string): void;
}

/** Asks the operator one question; resolves to the line that the operator typed. */
export type Ask = (question: string) => Promise<string>;

/** Dependencies of commands. */
export interface CommandContext {
  output: Output;
  files: Files;
  /** Environment variables. */
  variables: Record<string, string | undefined>;
  clock: Clock;
  random: RandomSource;
  peers: PeerCaller;
  ask: Ask;
  openStore(endpoints: string[]): Store;
}

/** Flags that several commands share. */
export interface CommandFlags {
  answers?: string;
  store?: string;
  daemon?: string;
  json?: boolean;
}

/**
 * Result of a command: the result code, whose explanation the command has already printed, or a
 * failure that `runProgram` prints.
 */
export type CommandResult = Promise<Result<ResultNumber, Failure>>;

/** Creates the failure of a command line that is wrong itself, such as a missing flag. */
export function badRequest(message: string): Failure {
  return createFailure(ResultCode.badRequest, message);
}

/** Reads and parses the answers file; fails with `badRequest` when it does not exist. */
export function loadAnswers(
  context: CommandContext,
  flags: CommandFlags,
): Result<Answers, Failure> {
  const file = flags.answers ?? DEFAULT_ANSWERS_FILE;
  const text = context.files.read(file);
  if (text !== undefined) return parseAnswers({ file, text });
  return Err(badRequest(`file ${file} does not exist; write one with: shallotcroft init`));
}

/** Opens the store given by `--store` or the environment. */
export function openStore(context: CommandContext, flags: CommandFlags): Result<Store, Failure> {
  const text = flags.store ?? context.variables[STORE_VARIABLE] ?? '';
  const endpoints = text.split(',').filter((endpoint) => endpoint !== '');
  const isValid =
    endpoints.length > 0 && endpoints.every((one) => /^https?:\/\/[^/]+\/?$/.test(one));
  if (isValid) return Ok(context.openStore(endpoints));
  return Err(
    badRequest(
      `store URL missing or invalid: give --store http://ADDRESS:PORT, or set ${STORE_VARIABLE}`,
    ),
  );
}

/** Returns the address of the daemon given by `--daemon` or the environment. */
export function daemonAddress(
  context: CommandContext,
  flags: CommandFlags,
): Result<PeerAddress, Failure> {
  const text = flags.daemon ?? context.variables[DAEMON_VARIABLE] ?? '';
  const [, address, digits] = /^\[?([0-9a-fA-F.:]+?)\]?:(\d+)$/.exec(text) ?? [];
  const port = Number(digits);
  if (address && port > 0 && port <= MAX_PORT) return Ok({ address, port });
  return Err(
    badRequest(
      `daemon address missing or invalid: give --daemon ADDRESS:PEER_PORT (an IP address), or set ${DAEMON_VARIABLE}`,
    ),
  );
}

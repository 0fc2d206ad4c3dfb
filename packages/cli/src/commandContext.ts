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

/** Name of the file with the answers where none is given. */
export const DEFAULT_ANSWERS_FILE = 'answers.yaml';

/** Variable that says where the store is. */
export const STORE_VARIABLE = 'SHALLOTCROFT_STORE';

/** Variable that says where a daemon is. */
export const DAEMON_VARIABLE = 'SHALLOTCROFT_DAEMON';

const HIGHEST_PORT = 65_535;

/** Files that commands read and write. */
export interface Files {
  /** Undefined when there is no such file. */
  read(file: string): string | undefined;
  write(file: string, text: string): void;
}

/** Asks the operator one question. */
export type Ask = (question: string) => Promise<string>;

/** What commands work with. */
export interface CommandContext {
  output: Output;
  files: Files;
  variables: Record<string, string | undefined>;
  clock: Clock;
  random: RandomSource;
  peers: PeerCaller;
  ask: Ask;
  openStore(endpoints: string[]): Store;
}

/** Flags that commands share. */
export interface CommandFlags {
  answers?: string;
  store?: string;
  daemon?: string;
  json?: boolean;
}

/** How a command ended: with the code that it has explained itself, or with a failure to print. */
export type CommandResult = Promise<Result<ResultNumber, Failure>>;

/** A failure of the command line itself. */
export function badRequest(message: string): Failure {
  return createFailure(ResultCode.badRequest, message);
}

/** Reads and checks the answers. */
export function loadAnswers(
  context: CommandContext,
  flags: CommandFlags,
): Result<Answers, Failure> {
  const file = flags.answers ?? DEFAULT_ANSWERS_FILE;
  const text = context.files.read(file);
  if (text !== undefined) return parseAnswers({ file, text });
  return Err(badRequest(`there is no file ${file}; write one with: shallotcroft init`));
}

/** Opens the store that the flags or the environment name. */
export function openStore(context: CommandContext, flags: CommandFlags): Result<Store, Failure> {
  const text = flags.store ?? context.variables[STORE_VARIABLE] ?? '';
  const endpoints = text.split(',').filter((endpoint) => endpoint !== '');
  const isValid =
    endpoints.length > 0 && endpoints.every((one) => /^https?:\/\/[^/]+\/?$/.test(one));
  if (isValid) return Ok(context.openStore(endpoints));
  return Err(
    badRequest(`say where the store is: --store http://ADDRESS:PORT, or set ${STORE_VARIABLE}`),
  );
}

/** Address of the daemon that the flags or the environment name. */
export function daemonAddress(
  context: CommandContext,
  flags: CommandFlags,
): Result<PeerAddress, Failure> {
  const text = flags.daemon ?? context.variables[DAEMON_VARIABLE] ?? '';
  const [, address, digits] = /^\[?([0-9a-fA-F.:]+?)\]?:(\d+)$/.exec(text) ?? [];
  const port = Number(digits);
  if (address && port > 0 && port <= HIGHEST_PORT) return Ok({ address, port });
  return Err(
    badRequest(
      `say where a daemon is: --daemon ADDRESS:PEER_PORT (an IP address), or set ${DAEMON_VARIABLE}`,
    ),
  );
}

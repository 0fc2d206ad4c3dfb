import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Clock } from '../runtime/clock.js';
import type { Configuration } from './configuration.js';
import { encodeConfiguration } from './configurationValue.js';
import { differenceOf } from './difference.js';
import type { Change } from './difference.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import { mintKey } from '../calls/idempotencyKey.js';
import type { RandomSource } from '../runtime/random.js';
import { ResultCode } from '../runtime/resultCode.js';
import {
  forgetOldRevisions,
  keepRevision,
  parseConfiguration,
  readAccepted,
  readHistory,
  readReplaced,
} from './revisions.js';
import type { AcceptedRevision } from './revisions.js';
import type { Store, StoreEntry } from '../store/store.js';
import { CONFIGURATION_KEY } from '../store/storeKeys.js';

/** Largest value that the store takes, in bytes, less room for its own fields. */
const MAX_VALUE_BYTES = 1_000_000;
const SETTLE_ATTEMPTS = 8;
const FIRST_PAUSE_MS = 100;
const LONGEST_PAUSE_MS = 2000;

/** What became of a change. */
export type ApplyOutcome =
  /** Accepted; `replacedBy` is a later revision that has come since, if one was seen. */
  | { kind: 'accepted'; configuration: Configuration; changes: Change[]; replacedBy?: number }
  /** Another change came first: what it changed, and what is still wanted on top of it. */
  | { kind: 'conflict'; winner: Configuration; theirs: Change[]; wanted: Change[] }
  /** What is wanted is in force already. */
  | { kind: 'unchanged'; configuration: Configuration };

/** What applying needs. */
export interface ApplyOptions {
  store: Store;
  clock: Clock;
  random: RandomSource;
  /** Revision that the operator's answers started from; another one is a conflict. */
  base?: number;
}

/** A change that is being made: both of its writes would be the same. */
interface PendingChange {
  base: AcceptedRevision;
  next: Configuration;
}

function checkShards(before: Configuration | undefined, after: Configuration): string[] {
  const calls = Object.values(before?.calls ?? {});
  return Object.values(before?.services ?? {}).flatMap((service) => {
    const shards = after.services[service.name]?.shards;
    const isKeyed = calls.some(
      (call) => call.service === service.name && call.execution === 'atMostOnce',
    );
    if (!isKeyed || shards === undefined || shards === service.shards) return [];
    return [`services.${service.name}.shards: keys are in use; leave it at ${service.shards}`];
  });
}

function checkSize(next: Configuration): string[] {
  const bytes = Buffer.byteLength(encodeConfiguration(next));
  if (bytes <= MAX_VALUE_BYTES) return [];
  return [
    `the configuration has ${bytes} bytes as it is stored and the store takes ${MAX_VALUE_BYTES}; shorten it`,
  ];
}

/** Revisions go on from the last one known, also when the store has lost the accepted one. */
async function nextRevision(
  store: Store,
  base: AcceptedRevision,
): Promise<Result<number, Failure>> {
  if (base.configuration) return Ok(base.configuration.revision + 1);
  return (await readHistory(store)).map((kept) => (kept.at(-1)?.revision ?? 0) + 1);
}

function conflictOf(
  wanted: Configuration,
  before: Configuration | undefined,
  winner: Configuration,
): ApplyOutcome {
  return {
    kind: 'conflict',
    winner,
    theirs: differenceOf(before, winner),
    wanted: differenceOf(winner, wanted),
  };
}

function acceptedOf({ base, next }: PendingChange, replacedBy?: number): ApplyOutcome {
  const changes = differenceOf(base.configuration, next);
  return {
    kind: 'accepted',
    configuration: next,
    changes,
    ...(replacedBy === undefined ? {} : { replacedBy }),
  };
}

/** The operator's answers started from a revision that is not the accepted one. */
async function otherBase(
  wanted: Configuration,
  base: number,
  accepted: Configuration | undefined,
  store: Store,
): Promise<Result<ApplyOutcome, Failure>> {
  if (!accepted) {
    const message = `the store holds no accepted revision, so not ${base} either; see \`shallotcroft history\``;
    return Err(createFailure(ResultCode.applyConflict, message));
  }
  const before = await readReplaced(store, base);
  return Ok(conflictOf(wanted, before.unwrapOr(undefined), accepted));
}

/** Judges a store that has moved past the base; undefined when it can't be told yet. */
async function judge(
  store: Store,
  change: PendingChange,
  current: StoreEntry,
  isLost: boolean,
): Promise<Result<ApplyOutcome, Failure> | undefined> {
  const { base, next } = change;
  const parsed = parseConfiguration(current);
  if (parsed.isErr()) return parsed;
  const found = parsed.value;
  if (found.changeId === next.changeId) return Ok(acceptedOf(change));
  const conflict = Ok(conflictOf(next, base.configuration, found));
  if (!isLost || found.revision === next.revision) return conflict;
  // An earlier swap may have been accepted and then replaced; whoever replaced it has kept it.
  const kept = await readReplaced(store, next.revision);
  if (kept.isErr() || !kept.value) return undefined;
  return kept.value.changeId === next.changeId ? Ok(acceptedOf(change, found.revision)) : conflict;
}

async function pause(attempt: number, { clock, random }: ApplyOptions): Promise<void> {
  const longest = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** attempt);
  await clock.sleep(longest * random.next());
}

/**
 * Swaps until the outcome is sure. Every swap expects the same store revision and writes the same
 * value, so at most one of them takes effect, and once the store has moved none can any more.
 */
async function swapUntilSettled(
  change: PendingChange,
  options: ApplyOptions,
): Promise<Result<ApplyOutcome, Failure>> {
  const { store } = options;
  const { base, next } = change;
  const value = encodeConfiguration(next);
  let isLost = false;
  for (let attempt = 0; attempt < SETTLE_ATTEMPTS; attempt++) {
    const swap = await store.swap(CONFIGURATION_KEY, base.modRevision, value);
    if (swap.isOk() && swap.value.swapped) return Ok(acceptedOf(change));
    if (swap.isOk()) {
      const judged = swap.value.current && (await judge(store, change, swap.value.current, isLost));
      if (judged) return judged;
    } else if (swap.error.code === ResultCode.storeOutcomeUnknown) {
      isLost = true;
    } else if (!isLost) {
      return swap;
    }
    await pause(attempt, options);
  }
  const message =
    `the store did not say whether change ${next.changeId} was accepted, and it may still be; ` +
    'look for it with `shallotcroft history`, or apply again: it can take effect only once';
  return Err(createFailure(ResultCode.storeOutcomeUnknown, message));
}

/**
 * Makes `wanted` the accepted configuration by a compare-and-swap on one key.
 * Fails with `answersInvalid` (can't be accepted), `storeUnavailable` (nothing was written) or
 * `storeOutcomeUnknown` (may have been accepted, or may yet be).
 */
export async function applyConfiguration(
  wanted: Configuration,
  options: ApplyOptions,
): Promise<Result<ApplyOutcome, Failure>> {
  const { store, clock, random } = options;
  const accepted = await readAccepted(store);
  if (accepted.isErr()) return accepted;
  const base = accepted.value;
  const { configuration } = base;
  if (options.base !== undefined && options.base !== (configuration?.revision ?? 0)) {
    return otherBase(wanted, options.base, configuration, store);
  }
  if (configuration && differenceOf(configuration, wanted).length === 0) {
    return Ok({ kind: 'unchanged', configuration });
  }
  const revision = await nextRevision(store, base);
  if (revision.isErr()) return revision;
  const next = { ...wanted, revision: revision.value, changeId: mintKey(clock, random) };
  const problems = [...checkShards(configuration, next), ...checkSize(next)];
  if (problems.length > 0) {
    return Err(createFailure(ResultCode.answersInvalid, problems.join('\n')));
  }
  if (configuration) {
    const kept = await keepRevision(store, configuration);
    if (kept.isErr()) return kept;
  }
  const outcome = await swapUntilSettled({ base, next }, options);
  if (outcome.isOk() && outcome.value.kind === 'accepted') {
    // Kept now as well, so that revisions go on from here if the store loses the accepted one.
    await keepRevision(store, next);
    await forgetOldRevisions(store);
  }
  return outcome;
}

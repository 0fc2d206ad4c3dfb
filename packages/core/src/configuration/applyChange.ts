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
  deleteOldRevisions,
  archiveRevision,
  parseConfiguration,
  readAccepted,
  readHistory,
  readArchived,
} from './revisions.js';
import type { AcceptedRevision } from './revisions.js';
import type { Store, StoreEntry } from '../store/store.js';
import { CONFIGURATION_KEY } from '../store/storeKeys.js';

/** Largest value written to the store, in bytes: its limit, less a reserve for its own fields. */
const MAX_VALUE_BYTES = 1_000_000;
const MAX_SWAP_ATTEMPTS = 8;
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 2000;

/** Outcome of applying a configuration. */
export type ApplyOutcome =
  /** Accepted; `replacedBy` is the later revision that has replaced it since, if one was seen. */
  | { kind: 'accepted'; configuration: Configuration; changes: Change[]; replacedBy?: number }
  /** Another change was accepted first: `theirs` is what it changed, `wanted` what is still to change. */
  | { kind: 'conflict'; winner: Configuration; theirs: Change[]; wanted: Change[] }
  /** The accepted configuration already equals the wanted one. */
  | { kind: 'unchanged'; configuration: Configuration };

/** Options of `applyConfiguration`. */
export interface ApplyOptions {
  store: Store;
  clock: Clock;
  random: RandomSource;
  /** Revision that the answers are based on; a conflict unless it is the accepted revision. */
  base?: number;
}

/** A change that is being applied; every swap attempt writes the same value. */
interface PendingChange {
  base: AcceptedRevision;
  next: Configuration;
}

function checkShards(before: Configuration | undefined, after: Configuration): string[] {
  const calls = Object.values(before?.calls ?? {});
  return Object.values(before?.services ?? {}).flatMap((service) => {
    const shards = after.services[service.name]?.shards;
    const hasAtMostOnceCalls = calls.some(
      (call) => call.service === service.name && call.execution === 'atMostOnce',
    );
    if (!hasAtMostOnceCalls || shards === undefined || shards === service.shards) return [];
    return [`services.${service.name}.shards: keys are in use; leave it at ${service.shards}`];
  });
}

function checkSize(next: Configuration): string[] {
  const bytes = Buffer.byteLength(encodeConfiguration(next));
  if (bytes <= MAX_VALUE_BYTES) return [];
  return [
    `the encoded configuration has ${bytes} bytes; the maximum is ${MAX_VALUE_BYTES} bytes; shorten it`,
  ];
}

/** Next revision number. Continues from the history if the store has lost the accepted revision. */
async function nextRevision(
  store: Store,
  base: AcceptedRevision,
): Promise<Result<number, Failure>> {
  if (base.configuration) return Ok(base.configuration.revision + 1);
  return (await readHistory(store)).map((history) => (history.at(-1)?.revision ?? 0) + 1);
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

/** Conflict of answers that are based on a revision other than the accepted one. */
async function baseConflict(
  wanted: Configuration,
  base: number,
  accepted: Configuration | undefined,
  store: Store,
): Promise<Result<ApplyOutcome, Failure>> {
  if (!accepted) {
    const message = `the store holds no accepted revision, expected ${base}; see \`shallotcroft history\``;
    return Err(createFailure(ResultCode.applyConflict, message));
  }
  const before = await readArchived(store, base);
  return Ok(conflictOf(wanted, before.unwrapOr(undefined), accepted));
}

/** Outcome of a swap whose expected store revision did not match; undefined if not yet known. */
async function resolveMismatch(
  store: Store,
  change: PendingChange,
  current: StoreEntry,
  hasUnknownSwap: boolean,
): Promise<Result<ApplyOutcome, Failure> | undefined> {
  const { base, next } = change;
  const parsed = parseConfiguration(current);
  if (parsed.isErr()) return parsed;
  const found = parsed.value;
  if (found.changeId === next.changeId) return Ok(acceptedOf(change));
  const conflict = Ok(conflictOf(next, base.configuration, found));
  if (!hasUnknownSwap || found.revision === next.revision) return conflict;
  // An earlier swap may have been accepted and then replaced; the change that replaced it has
  // archived it.
  const archived = await readArchived(store, next.revision);
  if (archived.isErr() || !archived.value) return undefined;
  return archived.value.changeId === next.changeId
    ? Ok(acceptedOf(change, found.revision))
    : conflict;
}

async function backOff(attempt: number, { clock, random }: ApplyOptions): Promise<void> {
  const maxDelayMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** attempt);
  await clock.sleep(maxDelayMs * random.next());
}

/**
 * Retries the swap until the outcome is known. Every attempt expects the same store revision and
 * writes the same value, so at most one takes effect, and none can after the key has changed.
 */
async function swapUntilResolved(
  change: PendingChange,
  options: ApplyOptions,
): Promise<Result<ApplyOutcome, Failure>> {
  const { store } = options;
  const { base, next } = change;
  const value = encodeConfiguration(next);
  let hasUnknownSwap = false;
  for (let attempt = 0; attempt < MAX_SWAP_ATTEMPTS; attempt++) {
    const swap = await store.swap(CONFIGURATION_KEY, base.modRevision, value);
    if (swap.isOk() && swap.value.swapped) return Ok(acceptedOf(change));
    if (swap.isOk()) {
      const outcome =
        swap.value.current &&
        (await resolveMismatch(store, change, swap.value.current, hasUnknownSwap));
      if (outcome) return outcome;
    } else if (swap.error.code === ResultCode.storeOutcomeUnknown) {
      hasUnknownSwap = true;
    } else if (!hasUnknownSwap) {
      return swap;
    }
    await backOff(attempt, options);
  }
  const message =
    `the store did not confirm whether change ${next.changeId} was accepted; it may still be ` +
    'accepted; check `shallotcroft history`, or apply again: it can take effect only once';
  return Err(createFailure(ResultCode.storeOutcomeUnknown, message));
}

/**
 * Makes `wanted` the accepted configuration by a compare-and-swap on one key.
 * Fails with `answersInvalid` (the configuration can't be accepted), `applyConflict` (`base` is given,
 * but the store holds no accepted revision), `storeUnavailable` (nothing was written) or
 * `storeOutcomeUnknown` (the change may have been accepted, or may be accepted later).
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
    return baseConflict(wanted, options.base, configuration, store);
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
    const archived = await archiveRevision(store, configuration);
    if (archived.isErr()) return archived;
  }
  const outcome = await swapUntilResolved({ base, next }, options);
  if (outcome.isOk() && outcome.value.kind === 'accepted') {
    // Archived already, so that revision numbers continue if the store loses the accepted revision.
    await archiveRevision(store, next);
    await deleteOldRevisions(store);
  }
  return outcome;
}

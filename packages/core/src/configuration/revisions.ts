import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Configuration } from './configuration.js';
import { decodeConfiguration, encodeConfiguration } from './configurationValue.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import { ResultCode } from '../runtime/resultCode.js';
import type { Store, StoreEntry } from '../store/store.js';
import { CONFIGURATION_KEY, HISTORY_PREFIX, historyKey } from '../store/storeKeys.js';

/** Number of archived revisions that are kept. */
export const MAX_ARCHIVED_REVISIONS = 32;

const ARCHIVE_ATTEMPTS = 3;

/** The accepted configuration and its store revision. */
export interface AcceptedRevision {
  /** Undefined before the first configuration. */
  configuration: Configuration | undefined;
  /** Store revision that the next swap must expect. */
  modRevision: number;
}

/** Parses the configuration in a store entry; fails with `internal` if it is invalid. */
export function parseConfiguration(entry: StoreEntry): Result<Configuration, Failure> {
  try {
    return Ok(decodeConfiguration(entry.value));
  } catch {
    const message = `the value of ${entry.key} in the store is not a configuration; find out what wrote it`;
    return Err(createFailure(ResultCode.internal, message));
  }
}

/** Reads the accepted configuration from the store. */
export async function readAccepted(store: Store): Promise<Result<AcceptedRevision, Failure>> {
  const found = await store.get(CONFIGURATION_KEY);
  if (found.isErr()) return found;
  const entry = found.value;
  if (!entry) return Ok({ configuration: undefined, modRevision: 0 });
  const { modRevision } = entry;
  return parseConfiguration(entry).map((configuration) => ({ configuration, modRevision }));
}

/** Reads one archived revision; undefined if it is not in the archive. */
export async function readArchived(
  store: Store,
  revision: number,
): Promise<Result<Configuration | undefined, Failure>> {
  const found = await store.get(historyKey(revision));
  if (found.isErr()) return found;
  return found.value ? parseConfiguration(found.value) : Ok(undefined);
}

/** Reads the archived revisions that precede the accepted one, then the accepted one, oldest first. */
export async function readHistory(store: Store): Promise<Result<Configuration[], Failure>> {
  const accepted = await readAccepted(store);
  if (accepted.isErr()) return accepted;
  const replaced = await store.list(HISTORY_PREFIX);
  if (replaced.isErr()) return replaced;
  const parsed = replaced.value.flatMap((entry) => parseConfiguration(entry).unwrapOr([]));
  const { configuration } = accepted.value;
  const older = parsed.filter((one) => !configuration || one.revision < configuration.revision);
  return Ok(configuration ? [...older, configuration] : older);
}

/**
 * Archives a revision before it is replaced, so that an operator whose response was lost can find out
 * later whether it was accepted. Archiving is idempotent, since a revision never changes.
 */
export async function archiveRevision(
  store: Store,
  configuration: Configuration,
): Promise<Result<void, Failure>> {
  const key = historyKey(configuration.revision);
  const found = await store.get(key);
  if (found.isOk() && found.value) return Ok(undefined);
  let failure: Failure | undefined;
  for (let attempt = 0; attempt < ARCHIVE_ATTEMPTS; attempt++) {
    const written = await store.swap(key, 0, encodeConfiguration(configuration));
    if (written.isOk()) return Ok(undefined);
    failure = written.error;
  }
  const message = `the change was not sent: archiving the previous revision failed: ${failure?.message ?? ''}`;
  return Err(createFailure(ResultCode.storeUnavailable, message));
}

/** Deletes the oldest archived revisions. After a failure, the next change deletes them. */
export async function deleteOldRevisions(store: Store): Promise<void> {
  const replaced = await store.list(HISTORY_PREFIX);
  if (replaced.isErr()) return;
  const old = replaced.value.slice(0, Math.max(0, replaced.value.length - MAX_ARCHIVED_REVISIONS));
  for (const entry of old) await store.remove(entry.key, entry.modRevision);
}

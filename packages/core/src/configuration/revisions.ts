import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Configuration } from './configuration.js';
import { decodeConfiguration, encodeConfiguration } from './configurationValue.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import { ResultCode } from '../runtime/resultCode.js';
import type { Store, StoreEntry } from '../store/store.js';
import { CONFIGURATION_KEY, HISTORY_PREFIX, historyKey } from '../store/storeKeys.js';

/** Replaced revisions that are kept. */
export const HISTORY_KEPT = 32;

const ARCHIVE_ATTEMPTS = 3;

/** The accepted configuration and where it stands in the store. */
export interface AcceptedRevision {
  /** Undefined before the first configuration. */
  configuration: Configuration | undefined;
  /** Store revision that the next swap has to expect. */
  modRevision: number;
}

/** The configuration that an entry holds. */
export function parseConfiguration(entry: StoreEntry): Result<Configuration, Failure> {
  try {
    return Ok(decodeConfiguration(entry.value));
  } catch {
    const message = `${entry.key} in the store holds no configuration; find out who wrote it`;
    return Err(createFailure(ResultCode.internal, message));
  }
}

/** Reads the accepted configuration. */
export async function readAccepted(store: Store): Promise<Result<AcceptedRevision, Failure>> {
  const found = await store.get(CONFIGURATION_KEY);
  if (found.isErr()) return found;
  const entry = found.value;
  if (!entry) return Ok({ configuration: undefined, modRevision: 0 });
  const { modRevision } = entry;
  return parseConfiguration(entry).map((configuration) => ({ configuration, modRevision }));
}

/** Reads one replaced revision; undefined when it is not kept. */
export async function readReplaced(
  store: Store,
  revision: number,
): Promise<Result<Configuration | undefined, Failure>> {
  const found = await store.get(historyKey(revision));
  if (found.isErr()) return found;
  return found.value ? parseConfiguration(found.value) : Ok(undefined);
}

/** Reads the revisions that are kept, the accepted one last. */
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
 * Keeps a revision before it is replaced, so that an operator whose answer was lost can find out
 * later whether it was accepted. Writing it again does no harm: a revision never changes.
 */
export async function keepRevision(
  store: Store,
  configuration: Configuration,
): Promise<Result<void, Failure>> {
  const key = historyKey(configuration.revision);
  const found = await store.get(key);
  if (found.isOk() && found.value) return Ok(undefined);
  let failure: Failure | undefined;
  for (let attempt = 0; attempt < ARCHIVE_ATTEMPTS; attempt++) {
    const kept = await store.swap(key, 0, encodeConfiguration(configuration));
    if (kept.isOk()) return Ok(undefined);
    failure = kept.error;
  }
  const message = `the change was not sent: ${failure?.message ?? ''}`;
  return Err(createFailure(ResultCode.storeUnavailable, message));
}

/** Forgets the oldest replaced revisions. What fails here is made good by the next change. */
export async function forgetOldRevisions(store: Store): Promise<void> {
  const replaced = await store.list(HISTORY_PREFIX);
  if (replaced.isErr()) return;
  const old = replaced.value.slice(0, Math.max(0, replaced.value.length - HISTORY_KEPT));
  for (const entry of old) await store.remove(entry.key, entry.modRevision);
}

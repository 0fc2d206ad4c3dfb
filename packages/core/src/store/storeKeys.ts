/** Key of the accepted configuration. */
export const CONFIGURATION_KEY = 'shallotcroft/configuration';

/** Prefix of the bootstrap addresses of all data centres. */
export const BOOTSTRAP_PREFIX = 'shallotcroft/bootstrap/';

/** Key of one bootstrap address of a data centre. */
export function bootstrapKey(dataCentre: string, slot: number): string {
  return `${BOOTSTRAP_PREFIX}${dataCentre}/${slot}`;
}

/** Prefix of the revisions that were replaced. */
export const HISTORY_PREFIX = 'shallotcroft/history/';

const REVISION_DIGITS = 10;

/** Key of one replaced revision; keys sort as their revisions do. */
export function historyKey(revision: number): string {
  return `${HISTORY_PREFIX}${String(revision).padStart(REVISION_DIGITS, '0')}`;
}

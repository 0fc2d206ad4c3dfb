/** Store key of the accepted configuration. */
export const CONFIGURATION_KEY = 'shallotcroft/configuration';

/** Prefix of the bootstrap addresses of all data centres. */
export const BOOTSTRAP_PREFIX = 'shallotcroft/bootstrap/';

/** Store key of one bootstrap address of a data centre. */
export function bootstrapKey(dataCentre: string, slot: number): string {
  return `${BOOTSTRAP_PREFIX}${dataCentre}/${slot}`;
}

/** Prefix of the archived revisions. */
export const HISTORY_PREFIX = 'shallotcroft/history/';

const REVISION_DIGITS = 10;

/** Store key of one archived revision; keys sort in the order of their revisions. */
export function historyKey(revision: number): string {
  return `${HISTORY_PREFIX}${String(revision).padStart(REVISION_DIGITS, '0')}`;
}

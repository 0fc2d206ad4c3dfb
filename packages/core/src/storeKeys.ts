/** Key of the accepted configuration. */
export const CONFIGURATION_KEY = 'shallotcroft/configuration';

/** Prefix of the bootstrap addresses of all data centres. */
export const BOOTSTRAP_PREFIX = 'shallotcroft/bootstrap/';

/** Key of one bootstrap address of a data centre. */
export function bootstrapKey(dataCentre: string, slot: number): string {
  return `${BOOTSTRAP_PREFIX}${dataCentre}/${slot}`;
}

import { ByteBudget } from './byteBudget.js';

/**
 * Shares of a process's memory that the bodies of requests and of responses may take. The rest is
 * for the program itself, its heap and bodies that were dropped and are not collected yet.
 */
const REQUEST_SHARE = 0.15;
const RESPONSE_SHARE = 0.15;
const BYTES_PER_MEGABYTE = 1024 * 1024;
/** Memory that is assumed where no limit is set, in megabytes. */
const DEFAULT_MEMORY_MEGABYTES = 350;

/** Budgets of the bodies that a process holds; separate, so that uploads cannot block responses. */
export interface HeldBytes {
  requests: ByteBudget;
  responses: ByteBudget;
}

/** Creates the budgets of a process whose memory is limited to `memoryMegabytes`. */
export function createHeldBytes(memoryMegabytes = DEFAULT_MEMORY_MEGABYTES): HeldBytes {
  const memoryBytes = memoryMegabytes * BYTES_PER_MEGABYTE;
  return {
    requests: new ByteBudget(REQUEST_SHARE * memoryBytes),
    responses: new ByteBudget(RESPONSE_SHARE * memoryBytes),
  };
}

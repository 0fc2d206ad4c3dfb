/** Header names of the call protocol. All values are ASCII. */
export const CallHeader = {
  /** Request id of the root call; unique per root. */
  root: 'x-shallotcroft-root',
  /** Name of the root caller. */
  caller: 'x-shallotcroft-caller',
  /** Importance of the root call; set by the first daemon. */
  importance: 'x-shallotcroft-importance',
  /** Remaining time in whole milliseconds. */
  deadline: 'x-shallotcroft-deadline-ms',
  /** Further attempts that this attempt may spend below. */
  tokens: 'x-shallotcroft-tokens',
  /** Id of the running call, which a target copies onto the calls it makes. */
  parent: 'x-shallotcroft-parent',
  /** Tells apart several children of the same call in one execution. */
  label: 'x-shallotcroft-label',
  /** Key of a call that may run at most once: a UUIDv7. */
  key: 'idempotency-key',
  /** Result code of the answer. */
  code: 'x-shallotcroft-code',
  /** Tokens that were not spent below. */
  tokensLeft: 'x-shallotcroft-tokens-left',
  /** Shedding level of the target that answered. */
  shedLevel: 'x-shallotcroft-shed-level',
  /** Id of the request between two daemons; echoed by the answer. */
  request: 'x-shallotcroft-request',
  /** Calendar time of the host, in milliseconds since 1970, after which the call must not begin. */
  latestStart: 'x-shallotcroft-latest-start-ms',
  /** Set by a target that refuses before it starts work. */
  refused: 'x-shallotcroft-refused',
} as const;

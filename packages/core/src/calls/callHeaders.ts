/** Header names of the call protocol. All values are ASCII. */
export const CallHeader = {
  /** Request id of the root call; unique for each root. */
  root: 'x-shallotcroft-root',
  /** Name of the root caller. */
  caller: 'x-shallotcroft-caller',
  /** Importance of the root call; set by the first daemon. */
  importance: 'x-shallotcroft-importance',
  /** Remaining time as an integer, in milliseconds. */
  deadline: 'x-shallotcroft-deadline-ms',
  /** Retries that this attempt may spend on its child calls. */
  tokens: 'x-shallotcroft-tokens',
  /** Id of the running call, which a target copies to the calls that it makes. */
  parent: 'x-shallotcroft-parent',
  /** Distinguishes several child calls with the same name in one execution. */
  label: 'x-shallotcroft-label',
  /** Idempotency key of a call that may run at most once: a UUIDv7. */
  key: 'idempotency-key',
  /** Result code of the response. */
  code: 'x-shallotcroft-code',
  /** Tokens that were not spent on child calls. */
  tokensLeft: 'x-shallotcroft-tokens-left',
  /** Shed level of the target that responded. */
  shedLevel: 'x-shallotcroft-shed-level',
  /** Id of a request between two daemons; echoed by the response. */
  request: 'x-shallotcroft-request',
  /** Unix time on the host's wall clock, in milliseconds, after which the call must not start. */
  latestStart: 'x-shallotcroft-latest-start-ms',
  /** Set by a target that rejects the call before it starts to execute it. */
  refused: 'x-shallotcroft-refused',
} as const;

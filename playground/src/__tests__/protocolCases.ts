import type { ExplorerLimits } from '../explorer.js';
import type { OneShotCase } from '../oneShotSystem.js';
import {
  ReportsNotRunWithoutProof,
  StartsLeaseAtResponse,
  ChecksLeaseOnlyAtStart,
  TakesOverDuringLease,
  BeginsCallsDuringSwap,
  GrantsAfterUnansweredTakeover,
} from './brokenParts.js';

/** A configuration and the limits of its exploration. */
export interface ProtocolCase {
  model: OneShotCase;
  limits: ExplorerLimits;
}

const MAX_STATES = 400_000;

/** Additional steps and ticks; more than 0 makes a run take minutes. */
const extra = Number(process.env.SHALLOTCROFT_EXPLORE ?? 0);

function limitsOf(depth: number): ExplorerLimits {
  return { depth: depth + extra, maxStates: MAX_STATES };
}

const takeover: OneShotCase = {
  daemons: ['A', 'B'],
  ticks: 4 + extra,
  attempts: 1,
  targetStart: 'atOnce',
  isStoreComparing: true,
  hasStaleReads: extra > 0,
};

const retries: OneShotCase = { ...takeover, ticks: 3 + extra, attempts: 2 };

const deputyChange: OneShotCase = {
  ...takeover,
  daemons: ['A', 'B', 'C'],
  ticks: 3 + extra,
  deputyTimeoutTicks: 1,
};

const handover: OneShotCase = { ...takeover, ticks: 2 + extra, attempts: 2, hasHandover: true };

/** Small configurations of the complete protocol, which must show no violation. */
export const correctCases: Record<string, ProtocolCase> = {
  'takeover of a shard': { model: takeover, limits: limitsOf(9) },
  'two attempts of a key': { model: retries, limits: limitsOf(8) },
  'change of deputy': { model: deputyChange, limits: limitsOf(9) },
  'planned handover': { model: handover, limits: limitsOf(8) },
  'a slow connection to a target that enforces the latest start': {
    model: { ...takeover, targetStart: 'delayedWithLatestStart' },
    limits: limitsOf(9),
  },
};

/** Configurations too large for exhaustive exploration; they are explored by random walks. */
export const randomWalkCases: Record<string, OneShotCase> = {
  'changes of deputy': { ...deputyChange, ticks: 10, attempts: 3 },
  'handover and takeovers': { ...deputyChange, ticks: 10, attempts: 3, hasHandover: true },
};

const deep = limitsOf(14);

/** Two ticks are enough for each dropped rule to show a violation. */
const shortTakeover: OneShotCase = { ...takeover, ticks: 2 };

/** The protocol with one rule dropped; exploration must find a violation. */
export const brokenProtocolCases: Record<string, ProtocolCase> = {
  'the home counts its lease from the response': {
    model: { ...shortTakeover, createHome: (options) => new StartsLeaseAtResponse(options) },
    limits: deep,
  },
  'the deputy takes over before its granted lease expires': {
    model: {
      ...shortTakeover,
      createDeputy: (...options) => new TakesOverDuringLease(...options),
    },
    limits: deep,
  },
  'the swap does not compare the revision': {
    model: { ...shortTakeover, deputyTimeoutTicks: 1, isStoreComparing: false },
    limits: deep,
  },
  'the deputy grants a lease after a takeover without a response': {
    model: {
      ...shortTakeover,
      createDeputy: (...options) => new GrantsAfterUnansweredTakeover(...options),
    },
    limits: deep,
  },
  'the home does not check its lease immediately before sending': {
    model: { ...shortTakeover, createHome: (options) => new ChecksLeaseOnlyAtStart(options) },
    limits: deep,
  },
  'the connection is slow and the target enforces no latest start': {
    model: { ...shortTakeover, targetStart: 'delayed' },
    limits: deep,
  },
  'the home begins calls while its table is handed over': {
    model: { ...handover, createHome: (options) => new BeginsCallsDuringSwap(options) },
    limits: deep,
  },
  'a home without a lease reports "not run" of any key that it does not know': {
    model: { ...retries, createHome: (options) => new ReportsNotRunWithoutProof(options) },
    limits: deep,
  },
};

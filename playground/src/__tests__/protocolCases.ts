import type { ExplorerLimits } from '../explorer.js';
import type { OneShotCase } from '../oneShotSystem.js';
import {
  ClaimsNotRunWithoutProof,
  CountsPledgeFromAnswer,
  DoesNotCheckBeforeSending,
  DoesNotWaitOutPledges,
  GoesOnDuringOwnSwap,
  GrantsAfterLostTakeover,
} from './brokenParts.js';

/** A case and how far it is explored. */
export interface ProtocolCase {
  model: OneShotCase;
  limits: ExplorerLimits;
}

const MAX_STATES = 400_000;

/** Further steps and ticks for a deeper run, which takes minutes. */
const extra = Number(process.env.SHALLOTCROFT_EXPLORE ?? 0);

function limitsOf(depth: number): ExplorerLimits {
  return { depth: depth + extra, maxStates: MAX_STATES };
}

const takeover: OneShotCase = {
  daemons: ['A', 'B'],
  ticks: 4 + extra,
  attempts: 1,
  targetStart: 'atOnce',
  storeCompares: true,
  staleReads: extra > 0,
};

const retries: OneShotCase = { ...takeover, ticks: 3 + extra, attempts: 2 };

const deputyChange: OneShotCase = {
  ...takeover,
  daemons: ['A', 'B', 'C'],
  ticks: 3 + extra,
  patienceTicks: 1,
};

const handover: OneShotCase = { ...takeover, ticks: 2 + extra, attempts: 2, handover: true };

/** The protocol as it is, in small cases. */
export const soundCases: Record<string, ProtocolCase> = {
  'takeover of a shard': { model: takeover, limits: limitsOf(9) },
  'two attempts of a key': { model: retries, limits: limitsOf(8) },
  'change of deputy': { model: deputyChange, limits: limitsOf(9) },
  'planned handover': { model: handover, limits: limitsOf(8) },
  'a slow way to a target that enforces the latest start': {
    model: { ...takeover, targetStart: 'delayedWithLatestStart' },
    limits: limitsOf(9),
  },
};

/** Longer sessions, of which only random ones can be looked at. */
export const walkedCases: Record<string, OneShotCase> = {
  'changes of deputy': { ...deputyChange, ticks: 10, attempts: 3 },
  'handover and takeovers': { ...deputyChange, ticks: 10, attempts: 3, handover: true },
};

const deep = limitsOf(14);

/** Every fault shows within two ticks. */
const shortTakeover: OneShotCase = { ...takeover, ticks: 2 };

/** The protocol with one rule dropped. */
export const brokenCases: Record<string, ProtocolCase> = {
  'the home counts its pledge from the answer': {
    model: { ...shortTakeover, createHome: (options) => new CountsPledgeFromAnswer(options) },
    limits: deep,
  },
  'the deputy does not wait out what it granted': {
    model: {
      ...shortTakeover,
      createDeputy: (...options) => new DoesNotWaitOutPledges(...options),
    },
    limits: deep,
  },
  'the swap does not compare the revision': {
    model: { ...shortTakeover, patienceTicks: 1, storeCompares: false },
    limits: deep,
  },
  'the deputy grants after a takeover without answer': {
    model: {
      ...shortTakeover,
      createDeputy: (...options) => new GrantsAfterLostTakeover(...options),
    },
    limits: deep,
  },
  'nothing is checked immediately before sending': {
    model: { ...shortTakeover, createHome: (options) => new DoesNotCheckBeforeSending(options) },
    limits: deep,
  },
  'the way to the target is slow and it enforces no latest start': {
    model: { ...shortTakeover, targetStart: 'delayed' },
    limits: deep,
  },
  'the home goes on while its table is handed over': {
    model: { ...handover, createHome: (options) => new GoesOnDuringOwnSwap(options) },
    limits: deep,
  },
  'a home without a pledge says "not run" of any key that it does not know': {
    model: { ...retries, createHome: (options) => new ClaimsNotRunWithoutProof(options) },
    limits: deep,
  },
};

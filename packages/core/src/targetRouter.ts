import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { CallAnswer } from './call.js';
import { numberOfAnswer } from './callAnswer.js';
import type { CallContext } from './callContext.js';
import { CallHeader } from './callHeaders.js';
import type { CallerShedding } from './callerShedding.js';
import type { CallPolicy } from './configuration.js';
import { createFailure } from './failure.js';
import type { Failure } from './failure.js';
import type { Directory, Member } from './member.js';
import { ResultCode } from './resultCode.js';
import { placeOf } from './shedLevel.js';
import type { TargetChooser } from './targetChooser.js';

/** Finds the daemon that an attempt goes to. */
export interface TargetRouter {
  /** A daemon, or why the attempt is not made; what is refused here was not run. */
  choose(
    policy: CallPolicy,
    context: CallContext,
    tried: ReadonlySet<string>,
  ): Result<Member, Failure>;
  begin(member: Member): void;
  end(member: Member): void;
  /** Learns from the headers of an answer. */
  noteAnswer(member: Member, answer: CallAnswer): void;
}

/** What a router needs. */
export interface TargetRouterOptions {
  directory: Directory;
  chooser: TargetChooser;
  shedding: CallerShedding;
}

/** Makes a router that sends nothing to a target which would shed it. */
export function createTargetRouter(options: TargetRouterOptions): TargetRouter {
  const { directory, chooser, shedding } = options;

  function chooseRepeatable(
    policy: CallPolicy,
    context: CallContext,
    tried: ReadonlySet<string>,
  ): Result<Member, Failure> {
    const targets = directory.targetsOf(policy.service);
    const place = placeOf(context.importance, context.caller);
    const open = targets.filter((member) => !shedding.refuses(member.incarnation, place));
    const member = chooser.choose(open, tried);
    if (member) return Ok(member);
    if (targets.length > 0) {
      const message = `every target of ${policy.service} sheds ${context.importance} calls; try again later`;
      return Err(createFailure(ResultCode.notRunShed, message));
    }
    const message = `no target of ${policy.service} is known to be serving`;
    return Err(createFailure(ResultCode.notRunNoTarget, message));
  }

  return {
    choose: chooseRepeatable,
    begin: (member) => chooser.begin(member),
    end: (member) => chooser.end(member),
    noteAnswer: (member, answer) => {
      shedding.learn(member.incarnation, numberOfAnswer(answer, CallHeader.shedLevel, 0));
    },
  };
}

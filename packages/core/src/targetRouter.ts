import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { CallAnswer } from './call.js';
import type { CallContext } from './callContext.js';
import type { CallPolicy } from './configuration.js';
import { createFailure } from './failure.js';
import type { Failure } from './failure.js';
import type { Member } from './member.js';
import { ResultCode } from './resultCode.js';
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
  chooser: TargetChooser;
}

/** Makes a router. */
export function createTargetRouter(options: TargetRouterOptions): TargetRouter {
  const { chooser } = options;
  return {
    choose: (policy, _context, tried) => {
      const member = chooser.choose(policy.service, tried);
      if (member) return Ok(member);
      const message = `no target of ${policy.service} is known to be serving`;
      return Err(createFailure(ResultCode.notRunNoTarget, message));
    },
    begin: (member) => chooser.begin(member),
    end: (member) => chooser.end(member),
    noteAnswer: () => undefined,
  };
}

import type { Configuration } from '../configuration/configuration.js';
import type { Directory, Member } from './member.js';
import { chooseTargetSubset, defaultSubsetSize } from './targetSubset.js';
import type { SubsetSize } from './targetSubset.js';

/** Services with a call that calls `service`. */
function servicesCalling(service: string, configuration: Configuration): Set<string> {
  const { calls } = configuration;
  const callers = Object.values(calls).filter((call) =>
    call.children.some((child) => calls[child]?.service === service),
  );
  return new Set(callers.map((call) => call.service));
}

/**
 * Members that connect to `leaver`, worked out from the choice that each of them makes.
 * Embedded callers have no service of their own and may call any.
 */
export function connectedMembers(
  leaver: Member,
  directory: Directory,
  configuration: Configuration | undefined,
  size: SubsetSize = defaultSubsetSize,
): Member[] {
  if (!configuration || leaver.service === '') return [];
  const calling = servicesCalling(leaver.service, configuration).add('');
  const others = directory
    .targetsOf(leaver.service)
    .filter((target) => target.incarnation !== leaver.incarnation);
  const targets = [...others, leaver];
  return directory
    .members()
    .filter((member) => member.state !== 'gone' && calling.has(member.service))
    .filter((member) => member.incarnation !== leaver.incarnation)
    .filter((member) => chooseTargetSubset(member, targets, size).includes(leaver));
}

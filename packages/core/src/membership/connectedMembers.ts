import type { Configuration } from '../configuration/configuration.js';
import type { Directory, Member } from './member.js';
import { chooseTargetSubset, defaultSubsetSize } from './targetSubset.js';
import type { SubsetSize } from './targetSubset.js';

/** Services with a call that has a child call to `service`. */
function servicesCalling(service: string, configuration: Configuration): Set<string> {
  const { calls } = configuration;
  const callingCalls = Object.values(calls).filter((call) =>
    call.children.some((child) => calls[child]?.service === service),
  );
  return new Set(callingCalls.map((call) => call.service));
}

/**
 * Members that connect to `leaver`, computed from the target subset that each of them selects.
 * Embedded callers have an empty service and may call any service.
 */
export function connectedMembers(
  leaver: Member,
  directory: Directory,
  configuration: Configuration | undefined,
  size: SubsetSize = defaultSubsetSize,
): Member[] {
  if (!configuration || leaver.service === '') return [];
  const callingServices = servicesCalling(leaver.service, configuration).add('');
  const otherTargets = directory
    .targetsOf(leaver.service)
    .filter((target) => target.incarnation !== leaver.incarnation);
  const targets = [...otherTargets, leaver];
  return directory
    .members()
    .filter((member) => member.state !== 'gone' && callingServices.has(member.service))
    .filter((member) => member.incarnation !== leaver.incarnation)
    .filter((member) => chooseTargetSubset(member, targets, size).includes(leaver));
}

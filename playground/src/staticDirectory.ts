import type { Directory, Member } from '@shallotcroft/core';

/**
 * Creates a serving member on the loopback address, with one port for calls and control messages.
 */
export function createMember(
  incarnation: string,
  host: string,
  dataCentre: string,
  service: string,
  port: number,
): Member {
  return {
    incarnation,
    version: 1,
    host,
    dataCentre,
    service,
    state: 'serving',
    address: '127.0.0.1',
    callPort: port,
    peerPort: port,
    homes: [],
  };
}

/** Creates a directory of the members that `members` returns; `onChange` receives each listener. */
export function createStaticDirectory(
  members: () => Member[],
  onChange: Directory['onChange'] = () => () => undefined,
): Directory {
  return {
    targetsOf: () => members().filter(({ state }) => state === 'serving'),
    members,
    memberOf: (incarnation) => members().find((member) => member.incarnation === incarnation),
    onChange,
  };
}

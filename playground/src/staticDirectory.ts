import type { Directory, Member } from '@shallotcroft/core';

/** A serving member at a place on loopback; host and data centre are given, the rest follows. */
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

/** A directory of what `members` returns; `onChange` gets each listener. */
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

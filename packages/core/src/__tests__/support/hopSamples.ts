import type { HopPeer, HopRequest } from '../../forwarding/hopMessages.js';

/** The daemon beside the caller. */
export const originPeer: HopPeer = { incarnation: 'run-a', peerPort: 7001, service: 'circles' };

/** The daemon beside the target. */
export const targetPeer: HopPeer = { incarnation: 'run-b', peerPort: 7002, service: 'books' };

/** A child call, sent by `originPeer` to `targetPeer`. */
export const hopRequest: HopRequest = {
  attemptId: 'run-a-17',
  callerId: 'a.1',
  method: 'POST',
  url: '/books/1?page=2',
  host: 'a.example',
  headers: { accept: '*/*' },
  body: Buffer.from('body'),
  remainingMs: 5000,
  callerService: 'circles',
  importance: 'high',
  rootId: 'a',
  isChildCall: true,
  route: 'r-1',
  service: 'books',
  incarnation: 'run-b',
  configurationVersion: 12,
  peerPort: 7001,
};

import { request } from 'node:http';

/** A call of the platform or of an upstream to a daemon. */
export interface PlatformCall {
  address: string;
  port: number;
  method?: string;
  url: string;
  body?: string;
}

/** Makes a call; resolves with the status of the response, 0 without a complete one. */
export function call({
  address,
  port,
  method = 'GET',
  url,
  body = '',
}: PlatformCall): Promise<number> {
  return new Promise((resolve) => {
    const headers = body === '' ? {} : { 'content-type': 'application/json' };
    const outgoing = request(
      { host: address, port, method, path: url, headers, agent: false },
      (incoming) => {
        incoming.resume();
        incoming.on('close', () => resolve(incoming.complete ? (incoming.statusCode ?? 0) : 0));
      },
    );
    outgoing.on('error', () => resolve(0));
    outgoing.end(body);
  });
}

import { ResultCode, createFailure } from '@shallotcroft/core';
import type {
  Clock,
  Failure,
  PeerAddress,
  PeerCaller,
  PeerMethod,
  PeerMethods,
} from '@shallotcroft/core';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';

/** A daemon's endpoint on a `MemoryNetwork`. */
export interface MemoryPeer extends PeerCaller, PeerMethods {
  /** Removes the daemon from the network, as when its host fails. */
  detach(): void;
}

/** A delivered message, with the sizes of its JSON. */
export interface CarriedMessage {
  from: PeerAddress;
  to: PeerAddress;
  method: string;
  requestBytes: number;
  answerBytes: number;
}

/** Returns whether a message from `from` reaches `to`. */
export type Reach = (from: PeerAddress, to: PeerAddress) => boolean;

function keyOf({ address, port }: PeerAddress): string {
  return `${address}:${port}`;
}

/** Control messages in one process, serialised as between hosts, with fault injection. */
export class MemoryNetwork {
  private readonly methods = new Map<string, Map<string, PeerMethod>>();

  /** Decides which requests and responses are delivered; all when undefined. */
  reach: Reach | undefined;

  /** Called after each message that received a response. */
  onMessage: ((message: CarriedMessage) => void) | undefined;

  constructor(private readonly clock: Clock) {}

  /** Attaches a daemon to the network and replaces an earlier one at its address. */
  attach(at: PeerAddress): MemoryPeer {
    const key = keyOf(at);
    const own = new Map<string, PeerMethod>();
    this.methods.set(key, own);
    const isAttached = (): boolean => this.methods.get(key) === own;
    return {
      call: (to, method, params, timeoutMs) =>
        this.send(at, to, method, params, timeoutMs, isAttached),
      register: (method, handler) => own.set(method, handler),
      close: async () => undefined,
      detach: () => {
        if (isAttached()) this.methods.delete(key);
      },
    };
  }

  private async send<T>(
    from: PeerAddress,
    to: PeerAddress,
    method: string,
    params: unknown,
    timeoutMs: number,
    isAttached: () => boolean,
  ): Promise<Result<T, Failure>> {
    const request = JSON.stringify(params);
    const response = isAttached() ? await this.deliver(from, to, method, request) : undefined;
    // The response is lost if the reverse direction is cut, or either daemon was detached in the
    // meantime.
    if (response === undefined || !this.isOpen(to, from) || !isAttached()) {
      await this.clock.sleep(timeoutMs);
      const message = `${method} at ${keyOf(to)}: no response within ${timeoutMs} ms`;
      return Err(createFailure(ResultCode.daemonUnreachable, message));
    }
    const requestBytes = Buffer.byteLength(request);
    const answerBytes = Buffer.byteLength(response);
    this.onMessage?.({ from, to, method, requestBytes, answerBytes });
    return Ok(JSON.parse(response) as T);
  }

  private async deliver(
    from: PeerAddress,
    to: PeerAddress,
    method: string,
    request: string,
  ): Promise<string | undefined> {
    const handler = this.methods.get(keyOf(to))?.get(method);
    if (!handler || !this.isOpen(from, to)) return undefined;
    const response = JSON.stringify((await handler(JSON.parse(request))) ?? null);
    // A daemon that was detached while it handled the request sends no response.
    return this.methods.get(keyOf(to))?.get(method) === handler ? response : undefined;
  }

  private isOpen(from: PeerAddress, to: PeerAddress): boolean {
    return this.reach?.(from, to) ?? true;
  }
}

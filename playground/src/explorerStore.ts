import { ResultCode, Store, createFailure } from '@shallotcroft/core';
import type { Failure, StoreEntry, SwapOutcome, Watch } from '@shallotcroft/core';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { ExplorerDatabase } from './explorerDatabase.js';

/** A request to the store; the explorer decides when it takes effect and when it is answered. */
export interface StoreRequest {
  name: string;
  from: string;
  isWrite: boolean;
  isApplied: boolean;
  isAnswered: boolean;
  apply(): void;
  respond(): void;
  loseResponse(): void;
}

function lostResponse<T>(): Result<T, Failure> {
  return Err(createFailure(ResultCode.storeOutcomeUnknown, 'no response from the store'));
}

/** Store of one daemon. Reads and swaps are queued in `requests` until the explorer runs them. */
export class ExplorerStore extends Store {
  constructor(
    private readonly from: string,
    private readonly database: ExplorerDatabase,
    private readonly requests: StoreRequest[],
  ) {
    super();
  }

  get(key: string): Promise<Result<StoreEntry | undefined, Failure>> {
    return this.request(`get ${key}`, false, () => this.database.rows.get(key));
  }

  /** Responds at once, since daemons list records only when they start. */
  async list(prefix: string): Promise<Result<StoreEntry[], Failure>> {
    return Ok([...this.database.rows.values()].filter(({ key }) => key.startsWith(prefix)));
  }

  swap(key: string, expected: number, value: string): Promise<Result<SwapOutcome, Failure>> {
    const name = `swap ${key} ${expected} ${value}`;
    return this.request(name, true, () => this.database.swap(key, expected, value));
  }

  // eslint-disable-next-line class-methods-use-this
  async remove(): Promise<Result<SwapOutcome, Failure>> {
    return lostResponse();
  }

  // eslint-disable-next-line class-methods-use-this
  async grantLease(): Promise<Result<string, Failure>> {
    return lostResponse();
  }

  // eslint-disable-next-line class-methods-use-this
  async renewLease(): Promise<Result<number, Failure>> {
    return lostResponse();
  }

  // eslint-disable-next-line class-methods-use-this
  watch(): Watch {
    return { close: () => undefined };
  }

  // eslint-disable-next-line class-methods-use-this
  async close(): Promise<void> {
    // Nothing is open.
  }

  private request<T>(name: string, isWrite: boolean, effect: () => T): Promise<Result<T, Failure>> {
    return new Promise((resolve) => {
      let result: T;
      const request: StoreRequest = {
        name,
        from: this.from,
        isWrite,
        isApplied: false,
        isAnswered: false,
        apply: () => {
          request.isApplied = true;
          result = effect();
        },
        respond: () => {
          request.isAnswered = true;
          resolve(Ok(result));
        },
        loseResponse: () => {
          request.isAnswered = true;
          resolve(lostResponse());
        },
      };
      this.requests.push(request);
    });
  }
}

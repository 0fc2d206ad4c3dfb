import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { Agent, request as send } from 'undici';
import { CallTransport } from './call.js';
import type { CallAnswer, CallRequest, Endpoint, SendBounds } from './call.js';
import { createFailure } from './failure.js';
import type { Failure } from './failure.js';
import { ResultCode } from './resultCode.js';

/** Carries calls over HTTP until `httpCallTransport.ts` takes its place. */
export class ProvisionalTransport extends CallTransport {
  private readonly agent = new Agent({ connections: 256, pipelining: 1 });

  async send(
    to: Endpoint,
    path: string,
    request: CallRequest,
    bounds: SendBounds,
  ): Promise<Result<CallAnswer, Failure>> {
    try {
      const answer = await send(`http://${to.address}:${to.port}${path}`, {
        method: 'POST',
        headers: request.headers,
        body: request.body,
        dispatcher: this.agent,
        signal: AbortSignal.any([bounds.signal, AbortSignal.timeout(bounds.timeoutMs)]),
      });
      const body = Buffer.from(await answer.body.arrayBuffer());
      return Ok({
        status: answer.statusCode,
        headers: answer.headers as Record<string, string>,
        body,
      });
    } catch (error) {
      const { code, message } = error as Error & { code?: string };
      const refused = code === 'ECONNREFUSED';
      const number = refused ? ResultCode.notRunConnect : ResultCode.unknownConnectionLost;
      return Err(createFailure(number, message));
    }
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }
}

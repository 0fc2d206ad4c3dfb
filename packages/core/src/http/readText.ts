import { ByteCollector } from '../runtime/byteCollector.js';

/** Reads a response body; rejects when it is longer than `limitBytes`, which closes its connection. */
export async function readText(body: AsyncIterable<Buffer>, limitBytes: number): Promise<string> {
  const collector = new ByteCollector();
  for await (const piece of body) {
    if (collector.length + piece.length > limitBytes) {
      throw new Error(`the response is longer than ${limitBytes} bytes`);
    }
    collector.append(piece);
  }
  return collector.take().toString('utf8');
}

/** Reads a response body; rejects when it is longer than `limitBytes`, which closes its connection. */
export async function readText(body: AsyncIterable<Buffer>, limitBytes: number): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of body) {
    size += chunk.length;
    if (size > limitBytes) throw new Error(`the response is longer than ${limitBytes} bytes`);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

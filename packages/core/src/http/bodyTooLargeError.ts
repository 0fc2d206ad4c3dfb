/** Error of a request body that is larger than the limit. */
export class BodyTooLargeError extends Error {
  constructor(readonly limitBytes: number) {
    super(`the body is larger than ${limitBytes} bytes`);
  }
}

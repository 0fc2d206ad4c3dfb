/** Error of a request body for which the budget of held bytes has no room. */
export class NoRoomForBodyError extends Error {
  constructor() {
    super('the bodies of other requests take up the memory; retry the request');
  }
}

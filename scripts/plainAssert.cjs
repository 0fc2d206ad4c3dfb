// Assertions of the bundled libraries. The one of Node.js words an error by reading and parsing the
// source at its place, which in the few long lines of a bundle stops the thread for seconds.
module.exports = (value, message = 'an assertion of a library failed') => {
  if (value) return;
  throw message instanceof Error ? message : new Error(message);
};

// The module of hdr-histogram-js that the daemon uses. The index would also load the log writer,
// which creates number formatters of the locale when it is loaded: a tenth of the time of a start.
const { build } = require('../node_modules/hdr-histogram-js/dist/HistogramBuilder');

module.exports = { build };

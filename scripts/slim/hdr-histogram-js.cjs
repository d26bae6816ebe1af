// Exports only the histogram that the router uses, without the codecs for histogram logs.
const { default: Int32Histogram } = require("hdr-histogram-js/dist/Int32Histogram.js");

exports.build = ({ lowestDiscernibleValue = 1, highestTrackableValue, numberOfSignificantValueDigits }) =>
    new Int32Histogram(lowestDiscernibleValue, highestTrackableValue, numberOfSignificantValueDigits);

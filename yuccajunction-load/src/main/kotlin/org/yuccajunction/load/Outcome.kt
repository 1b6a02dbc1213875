package org.yuccajunction.load

/** How a request ended, as its caller sees it. */
public enum class Outcome {
    /** The whole answer came. */
    WHOLE,

    /** The system said that it did not run the request. */
    REFUSED,

    /** The system said that the request may have been run. */
    UNKNOWN,

    /** The service answered with an error. */
    FAILED,

    /** The connection or the stream broke. */
    BROKEN,
}

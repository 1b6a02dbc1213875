package org.yuccajunction.load

/** The end of a request from the view of the caller. */
public enum class Outcome {
    /** The complete answer arrived. */
    WHOLE,

    /** The system rejected the request before the execution. */
    REFUSED,

    /** The system reported that the request may have been executed. */
    UNKNOWN,

    /** The service answered with an error. */
    FAILED,

    /** The connection or stream broke, or the request timed out. */
    BROKEN,
}

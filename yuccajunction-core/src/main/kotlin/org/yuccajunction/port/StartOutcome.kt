package org.yuccajunction.port

/** The outcome of ordering an instance from the cloud. */
public enum class StartOutcome {
    /** The instance is running or starting. */
    STARTED,

    /** The cloud lacks the capacity now. */
    REFUSED,

    /** No answer arrived; the caller repeats the order under the same name. */
    UNKNOWN,
}

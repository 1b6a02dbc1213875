package org.yuccajunction.port

/** The outcome of asking the cloud for an instance. */
public enum class StartOutcome {
    /** The instance runs or is starting. */
    STARTED,

    /** The cloud has no such capacity now. */
    REFUSED,

    /** The answer was lost; ask again under the same name. */
    UNKNOWN,
}

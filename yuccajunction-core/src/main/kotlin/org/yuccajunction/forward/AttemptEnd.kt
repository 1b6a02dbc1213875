package org.yuccajunction.forward

/**
 * How an attempt at a backend server ended without an answer for the caller.
 *
 * @property mayHaveExecuted whether the server may have started to execute the request
 */
public enum class AttemptEnd(public val mayHaveExecuted: Boolean) {
    /** The entry could not connect to the server, or the request did not leave the entry. */
    UNREACHABLE(false),

    /** The server answered that it did not execute the request. */
    REJECTED(false),

    /** Another server answered at this address; the request was not executed. */
    MISPLACED(false),

    /** The connection broke after the entry may have sent the request. */
    BROKEN(true),

    /** The answer failed a validity check. */
    INVALID(true),

    /** The server sent nothing for too long. */
    SILENT(true),

    /** The server answered with an error status. */
    FAILED(true),
}

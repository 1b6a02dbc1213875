package org.yuccajunction.forward

/**
 * How an attempt at a backend server ended without an answer that can be passed on.
 *
 * @property mayHaveExecuted whether the server may have begun to work on the request
 */
public enum class AttemptEnd(public val mayHaveExecuted: Boolean) {
    /** No connection could be made, or the request did not leave this entry. */
    UNREACHABLE(false),

    /** The server said that it did not run the request. */
    REJECTED(false),

    /** Another server answers at this address; the request was not run. */
    MISPLACED(false),

    /** The connection broke after the request may have left. */
    BROKEN(true),

    /** The answer failed a check. */
    INVALID(true),

    /** Nothing came for too long. */
    SILENT(true),

    /** The server answered with an error of its own. */
    FAILED(true),
}

package org.yuccajunction.routing

/** How one attempt at a backend server ended. */
public enum class AttemptResult {
    /** The whole answer came. */
    COMPLETED,

    /** The server answered with a failure of its own (status 500 to 599). */
    FAILED,

    /** No connection could be made; nothing was sent. */
    UNREACHABLE,

    /** The server refused before running anything. */
    REJECTED,

    /** The connection broke after the request may have left. */
    BROKEN,

    /** Nothing came for longer than the bound. */
    SILENT,

    /** The answer failed a check: another request's, a gap, or a missing end. */
    INVALID,

    /** The caller left, or the request was handed on. */
    CANCELLED,
}

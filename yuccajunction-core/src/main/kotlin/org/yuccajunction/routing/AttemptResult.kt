package org.yuccajunction.routing

/** How one attempt at a backend server ended. */
public enum class AttemptResult {
    /** The whole response arrived. */
    COMPLETED,

    /** The server answered with a server error (status 500 to 599). */
    FAILED,

    /** The connection could not be established; nothing was sent. */
    UNREACHABLE,

    /** The server refused the request before it executed anything. */
    REJECTED,

    /** The connection broke after the request may have been sent. */
    BROKEN,

    /** The server sent nothing for longer than the idle timeout. */
    SILENT,

    /** The response failed a check: it belongs to another request, has a gap or lacks its end. */
    INVALID,

    /** The caller disconnected, or the request was handed over to another entry. */
    CANCELLED,
}

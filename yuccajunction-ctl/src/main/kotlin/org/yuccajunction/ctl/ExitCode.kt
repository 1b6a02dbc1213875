package org.yuccajunction.ctl

/**
 * Exit codes of the command line. The argument parser itself exits with 127 for invalid arguments.
 *
 * @property code exit code of the process
 */
public enum class ExitCode(public val code: Int) {
    /** The command succeeded. */
    DONE(0),

    /** The file differs from the sections in force. */
    DIFFERENT(1),

    /** The command can't be executed: an argument is invalid, or the file, token or entry is missing. */
    USAGE(2),

    /** The document has findings. */
    INVALID(3),

    /** The section has changed since it was read. */
    CONFLICT(4),

    /** No entry answered, or the object API is unavailable; nothing was changed. */
    UNAVAILABLE(5),

    /** The change may have been made; run the same command again. */
    UNKNOWN(6),

    /** The wait timed out before every entry had the revision, or before the move was done or taken back. */
    TIMED_OUT(7),

    /** The move was taken back. */
    TAKEN_BACK(8),

    /** The entry refused the request. */
    REFUSED(9),
}

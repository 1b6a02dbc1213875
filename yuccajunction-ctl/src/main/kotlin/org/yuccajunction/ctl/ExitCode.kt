package org.yuccajunction.ctl

/**
 * The codes with which the command line ends; the argument parser itself ends with 127 for arguments it can't read.
 *
 * @property code the exit code of the process
 */
public enum class ExitCode(public val code: Int) {
    /** What was asked is done. */
    DONE(0),

    /** The file differs from what is in force. */
    DIFFERENT(1),

    /** The command can't be carried out as given: a missing file, token or entry. */
    USAGE(2),

    /** The document has findings. */
    INVALID(3),

    /** The section has changed since it was read. */
    CONFLICT(4),

    /** No entry answered, or the object API can't be had; nothing was changed. */
    UNAVAILABLE(5),

    /** The change may have been made; give the same command again. */
    UNKNOWN(6),

    /** The wait ended before every entry had the revision, or before the move was done or taken back. */
    TIMED_OUT(7),

    /** The move was taken back. */
    TAKEN_BACK(8),

    /** The entry refused the request. */
    REFUSED(9),
}

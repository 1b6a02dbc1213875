package org.yuccajunction.gateway

/**
 * Says to which request an answer on a connection belongs.
 *
 * @property leavesUncertain whether the connection must not be used again after the answer
 */
internal enum class AnswerMatch(val leavesUncertain: Boolean) {
    /** The answer names the current request, or is a peer entry's. */
    OWN(leavesUncertain = false),

    /** The answer names no request, but the connection has carried none but the current one. */
    OWN_UNNAMED(leavesUncertain = true),

    /** An interim answer, which ends no request. */
    INTERIM(leavesUncertain = false),

    /** The answer names another request than the current one. */
    OTHER_REQUEST(leavesUncertain = true),

    /** The answer names no request and may be a late copy of the answer to a former request of the connection. */
    UNPROVEN(leavesUncertain = true),

    /** More answers came before the answer to the current request than are skipped. */
    TOO_MANY(leavesUncertain = true),
}

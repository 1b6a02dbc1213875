package org.yuccajunction.gateway

import org.yuccajunction.fleet.LoadReport

/**
 * What the head of a backend server's answer says.
 *
 * @property requestId the request that it answers, null where it names none
 * @property isNotExecuted whether the server did not run the request
 * @property isMisplaced whether another server than the expected one answers
 * @property isSigned whether it carries the server's signature
 * @property isEncoded whether the body is in an encoding that nobody asked for
 * @property keepAliveSeconds how long the server keeps the connection open, null where it tells nothing
 * @property closesConnection whether the server closes the connection after the answer
 */
public class AnswerHead(
    public val status: Int,
    public val requestId: String?,
    public val isNotExecuted: Boolean,
    public val isMisplaced: Boolean,
    public val isSigned: Boolean,
    public val isEncoded: Boolean,
    public val load: LoadReport?,
    public val keepAliveSeconds: Int?,
    public val closesConnection: Boolean,
) {
    /** Whether the answer is a success. */
    public val isSuccess: Boolean get() = status in SUCCESS_STATUSES

    /** Returns whether this is an answer to [requestId] whose body can be passed on. */
    public fun canBePassedOn(requestId: String): Boolean =
        if (isSuccess) isSigned && !isEncoded && this.requestId == requestId else !isEncoded

    private companion object {
        val SUCCESS_STATUSES = 200..299
    }
}

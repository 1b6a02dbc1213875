package org.yuccajunction.gateway

import org.yuccajunction.fleet.LoadReport
import kotlin.time.Duration

/**
 * Holds the parsed status line and headers of a backend server's answer.
 *
 * @property requestId the request that the answer names, null where the answer names none
 * @property isNotExecuted whether the server states that it did not execute the request
 * @property isMisplaced whether another server than the expected one answered
 * @property signature the server's signature, null where the answer carries none
 * @property isEncoded whether the body has a content encoding, which the gateway never asks for
 * @property load the load that the server reports, null where the answer carries no report
 * @property requestsPerSecond rate that the server takes from all entries together, null where it names no limit
 * @property isLeaving whether the server says that it leaves and wants no new requests
 * @property pause time for which the server that rejects a request wants no other from this entry, null for none
 * @property rejectionsPerSecond rejections in a second beyond which the server falls over, null where it names none
 * @property keepAliveSeconds how long the server keeps an idle connection open, null where the answer does not say
 * @property closesConnection whether the server closes the connection after the answer
 */
public class AnswerHead(
    public val status: Int,
    public val requestId: String?,
    public val isNotExecuted: Boolean,
    public val isMisplaced: Boolean,
    public val signature: String?,
    public val isEncoded: Boolean,
    public val load: LoadReport?,
    public val keepAliveSeconds: Int?,
    public val closesConnection: Boolean,
    public val requestsPerSecond: Double? = null,
    public val isLeaving: Boolean = false,
    public val pause: Duration? = null,
    public val rejectionsPerSecond: Double? = null,
) {
    /** Whether the answer carries the server's signature. */
    public val isSigned: Boolean get() = !signature.isNullOrBlank()

    /** Whether the status is 2xx. */
    public val isSuccess: Boolean get() = status in SUCCESS_STATUSES

    /**
     * Returns whether the answer to the request [requestId] can be passed on to the caller.
     *
     * A successful answer must be signed and name [requestId]; no answer may have a content encoding.
     */
    public fun canBePassedOn(requestId: String): Boolean =
        if (isSuccess) isSigned && !isEncoded && this.requestId == requestId else !isEncoded

    private companion object {
        val SUCCESS_STATUSES = 200..299
    }
}

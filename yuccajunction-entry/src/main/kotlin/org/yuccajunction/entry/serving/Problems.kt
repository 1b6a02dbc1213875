package org.yuccajunction.entry.serving

import org.yuccajunction.model.Ending
import org.yuccajunction.model.RefusalReason
import org.yuccajunction.traffic.AddressOrder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Builds the problem documents that this entry sends to callers. */
internal class Problems(private val context: ServingContext) {
    /** Returns the document for [ending], which must not be [Ending.Completed]. */
    fun of(ending: Ending): ProblemDocument =
        when (ending) {
            is Ending.Refused -> refusal(ending.reason, ending.detail, ending.retryAfter)
            is Ending.Failed -> failure(ending)
            is Ending.OutcomeUnknown -> unknown(ending.detail)
            is Ending.Moved -> moved(ending)
            is Ending.Completed -> error("no problem document exists for $ending")
        }

    fun refusal(reason: RefusalReason, detail: String, retryAfter: Duration = DEFAULT_RETRY_AFTER): ProblemDocument =
        ProblemDocument(
            type = "urn:yuccajunction:problem:${reason.code}",
            title = "The request was refused and has not been run.",
            status = reason.status,
            detail = detail,
            notRun = true,
            outcome = "refused",
            retryAfterSeconds = retryAfter.wholeSeconds(),
            entries = otherEntries(),
            identityRetired = reason == RefusalReason.HOME_LEFT,
        )

    private fun failure(ending: Ending.Failed): ProblemDocument =
        ProblemDocument(
            type = "urn:yuccajunction:problem:failed",
            title = "The request failed.",
            status = ending.status,
            detail = ending.detail,
            notRun = false,
            outcome = "failed",
            retryAfterSeconds = DEFAULT_RETRY_AFTER.wholeSeconds().takeIf { ending.status >= SERVER_ERROR },
            entries = otherEntries(),
        )

    private fun moved(ending: Ending.Moved): ProblemDocument =
        ProblemDocument(
            type = "urn:yuccajunction:problem:moved",
            title = "The request goes on at another entry.",
            status = SERVICE_UNAVAILABLE,
            detail = "resume the request at ${ending.successor} under the same identity",
            notRun = false,
            outcome = "moved",
            retryAfterSeconds = DEFAULT_RETRY_AFTER.wholeSeconds(),
            entries = listOf(ending.successor.toString()),
        )

    private fun unknown(detail: String): ProblemDocument =
        ProblemDocument(
            type = "urn:yuccajunction:problem:outcome-unknown",
            title = "The request may have been run and will not be run again.",
            status = GATEWAY_TIMEOUT,
            detail = detail,
            notRun = false,
            outcome = "unknown",
        )

    private fun otherEntries(): List<String> {
        val table = context.table()
        val others = table.entries.filter { it.entry != context.self }
        return AddressOrder.of(others, table.availabilityZone, context.random).map { it.callerEndpoint.toString() }
    }

    private fun Duration.wholeSeconds(): Long = maxOf(
        1L,
        toDouble(DurationUnit.SECONDS).let {
            kotlin.math.ceil(it).toLong()
        },
    )

    private companion object {
        const val GATEWAY_TIMEOUT = 504
        const val SERVICE_UNAVAILABLE = 503
        const val SERVER_ERROR = 500
        val DEFAULT_RETRY_AFTER = 1.seconds
    }
}

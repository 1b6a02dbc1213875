package org.yuccajunction.entry.serving

import org.yuccajunction.record.RecordLimits
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Limits of one entry on the requests of callers.
 *
 * @property bodyBytes maximum size of a request body, in bytes
 * @property headerBytes maximum size of a request's header section, in bytes
 * @property openRequests maximum number of requests that hold a slot of the entry at once
 * @property unansweredRequests maximum number of requests whose answers are not sent yet, including repeated requests
 * @property streamTokens number of tokens at which the entry ends a model's answer, with the finish reason `length`
 * @property requestTimeLimit maximum duration of one request
 * @property resumeGracePeriod time for which a stream continues, or is kept after its end, while no caller reads it
 * @property records limits of the at-most-once records
 */
public data class ServingLimits(
    public val bodyBytes: Int = 2_097_152,
    public val headerBytes: Int = 16_384,
    public val openRequests: Int = 1_024,
    public val unansweredRequests: Int = 4_096,
    public val streamTokens: Int = 32_768,
    public val requestTimeLimit: Duration = 10.minutes,
    public val resumeGracePeriod: Duration = 15.seconds,
    public val records: RecordLimits = RecordLimits(),
)

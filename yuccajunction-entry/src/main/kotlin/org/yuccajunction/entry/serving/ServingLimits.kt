package org.yuccajunction.entry.serving

import org.yuccajunction.record.RecordLimits
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds on what callers may ask of one entry; each refusal names the limit that it met.
 *
 * @property bodyBytes longest body of a request
 * @property headerBytes longest header section of a request
 * @property openRequests requests that the entry holds open at once
 * @property unansweredRequests requests that the entry reads and answers at once, repeated ones included
 * @property streamTokens length at which a model's answer is ended, with the finish reason `length`
 * @property requestTimeLimit longest life of one request
 * @property resumeGracePeriod how long a stream goes on after its caller's connection broke
 * @property records bounds on the at-most-once records
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

package org.yuccajunction.quarantine

import kotlin.time.Duration

/** A decision of a [PromptQuarantine] about one prompt part, for the log. */
public sealed interface QuarantineDecision {
    /** Hash of the part. */
    public val part: Long

    /** The part is not sent any more: the servers of [incarnations] ended under it. */
    public data class Quarantined(override val part: Long, public val incarnations: List<String>) : QuarantineDecision

    /** A peer or the store has reported that the part is quarantined. */
    public data class Learned(override val part: Long) : QuarantineDecision

    /** One request with the part is sent after [quarantinedFor], to find out whether the part still ends servers. */
    public data class Tried(override val part: Long, public val quarantinedFor: Duration) : QuarantineDecision

    /** A server has answered a request with the part, which may be sent again. */
    public data class Released(override val part: Long) : QuarantineDecision
}

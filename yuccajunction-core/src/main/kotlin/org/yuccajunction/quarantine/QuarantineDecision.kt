package org.yuccajunction.quarantine

import kotlin.time.Duration

/** A decision of a [CrashQuarantine] about one suspect, for the log. */
public sealed interface QuarantineDecision {
    public val suspect: Suspect

    /** The suspect is not sent any more: the servers of [incarnations] ended under it. */
    public data class Quarantined(override val suspect: Suspect, public val incarnations: List<String>) :
        QuarantineDecision

    /** A peer or the store has reported that the suspect is quarantined. */
    public data class Learned(override val suspect: Suspect) : QuarantineDecision

    /** One request is sent after [quarantinedFor], to find out whether the suspect still ends servers. */
    public data class Tried(override val suspect: Suspect, public val quarantinedFor: Duration) : QuarantineDecision

    /** A server has answered the suspect, which may be sent again. */
    public data class Released(override val suspect: Suspect) : QuarantineDecision
}

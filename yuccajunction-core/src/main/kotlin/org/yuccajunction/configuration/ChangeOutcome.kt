package org.yuccajunction.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.yuccajunction.model.Finding
import org.yuccajunction.model.Revision

/** What became of a [ChangeRequest]. */
@Serializable
public sealed interface ChangeOutcome {
    /** The change is part of the configuration from [revision] on. */
    @Serializable
    @SerialName("accepted")
    public data class Accepted(public val revision: Revision) : ChangeOutcome

    /** The configuration that would result has [findings]; nothing was changed. */
    @Serializable
    @SerialName("invalid")
    public data class Invalid(public val findings: List<Finding>) : ChangeOutcome

    /**
     * The section has changed since it was read; nothing was changed by this request.
     *
     * @property author who changed it last, null where that is no longer known
     */
    @Serializable
    @SerialName("conflict")
    public data class Conflict(public val current: Revision, public val author: String? = null) : ChangeOutcome

    /** The object API can't be had; nothing was changed. */
    @Serializable
    @SerialName("unavailable")
    public data class Unavailable(public val detail: String) : ChangeOutcome

    /** The change may have been accepted; ask again with the same write id. */
    @Serializable
    @SerialName("unknown")
    public data class Unknown(public val detail: String) : ChangeOutcome
}

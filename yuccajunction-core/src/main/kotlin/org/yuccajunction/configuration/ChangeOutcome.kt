package org.yuccajunction.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.yuccajunction.model.Finding
import org.yuccajunction.model.Revision

/** The outcome of a [ChangeRequest]. */
@Serializable
public sealed interface ChangeOutcome {
    /** The change is part of the configuration from [revision] on. */
    @Serializable
    @SerialName("accepted")
    public data class Accepted(public val revision: Revision) : ChangeOutcome

    /** The resulting configuration would have [findings]; the stored configuration was not changed. */
    @Serializable
    @SerialName("invalid")
    public data class Invalid(public val findings: List<Finding>) : ChangeOutcome

    /**
     * Another change replaced the section after the operator read it; this request changed nothing.
     *
     * @property current the newest known revision, to be read before the next try
     * @property author name of the operator who last changed the section; null when the head no longer lists it
     */
    @Serializable
    @SerialName("conflict")
    public data class Conflict(public val current: Revision, public val author: String? = null) : ChangeOutcome

    /** The object API is unavailable or this entry is behind it; the change was not made. */
    @Serializable
    @SerialName("unavailable")
    public data class Unavailable(public val detail: String) : ChangeOutcome

    /** The change may have been accepted; repeating the request with the same write id gives the answer. */
    @Serializable
    @SerialName("unknown")
    public data class Unknown(public val detail: String) : ChangeOutcome
}

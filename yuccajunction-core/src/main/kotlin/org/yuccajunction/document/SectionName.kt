package org.yuccajunction.document

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The sections of the deployment document; a different team may edit each of them.
 *
 * @property key the key in the document and in the names of stored objects
 */
@Serializable
public enum class SectionName(public val key: String) {
    @SerialName("models")
    MODELS("models"),

    @SerialName("applications")
    APPLICATIONS("applications"),

    @SerialName("availability-zones")
    AVAILABILITY_ZONES("availability-zones"),

    @SerialName("versions")
    VERSIONS("versions"),

    @SerialName("traffic-rules")
    TRAFFIC_RULES("traffic-rules"),
    ;

    public companion object {
        /** Returns the section with [key]; null when there is none. */
        public fun of(key: String): SectionName? = entries.find { it.key == key }
    }
}

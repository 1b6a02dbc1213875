package org.yuccajunction.model

import kotlinx.serialization.Serializable

/**
 * One process lifetime of an entry on one instance.
 *
 * A restarted entry has a larger [incarnation], so that its messages and records are told apart from earlier ones.
 */
@Serializable
public data class EntryIncarnation(public val instance: InstanceId, public val incarnation: Long) {
    init {
        require('~' !in instance.value) { "instance id of an entry holds '~': \"$instance\"" }
        require(incarnation >= 0) { "incarnation is negative: $incarnation" }
    }

    override fun toString(): String = "$instance~$incarnation"

    public companion object {
        /** Parses the form that [toString] writes; returns null for any other text. */
        public fun parse(text: String): EntryIncarnation? {
            val instance = text.substringBefore('~', "")
            val incarnation = text.substringAfter('~').toLongOrNull()
            if (instance.isBlank() || incarnation == null || incarnation < 0) return null
            return EntryIncarnation(InstanceId(instance), incarnation)
        }
    }
}

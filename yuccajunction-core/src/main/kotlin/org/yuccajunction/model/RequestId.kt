package org.yuccajunction.model

import kotlinx.serialization.Serializable

/**
 * Identifies a request and names the home of the request: the only entry that may execute it.
 *
 * The text form is `instance~incarnation~epoch~suffix`. The first three parts are the prefix that the home hands out
 * with the list of entry addresses; the caller appends a [suffix] and sends the same identity with each retry.
 *
 * @property home the entry that keeps the record of this request
 * @property epoch the identity epoch of the home when the prefix was handed out
 * @property suffix chosen by the caller, unique for the prefix
 */
@Serializable
public data class RequestId(public val home: EntryIncarnation, public val epoch: Long, public val suffix: String) {
    init {
        require(epoch >= 0) { "epoch is negative: $epoch" }
        require(SUFFIX.matches(suffix)) { "suffix is not 1 to 64 letters, digits, '-' or '_': \"$suffix\"" }
    }

    /** The part that the home hands out: the identity without the suffix. */
    public val prefix: String get() = "$home~$epoch"

    override fun toString(): String = "$prefix~$suffix"

    public companion object {
        private val SUFFIX = Regex("[A-Za-z0-9_-]{1,64}")
        private const val PARTS = 4

        /** Parses the form that [toString] writes; returns null for any other text. */
        public fun parse(text: String): RequestId? {
            val parts = text.split('~')
            if (parts.size != PARTS) return null
            val (instance, incarnation, epochText, suffix) = parts
            val home = EntryIncarnation.parse("$instance~$incarnation") ?: return null
            val epoch = epochText.toLongOrNull()?.takeIf { it >= 0 } ?: return null
            return suffix.takeIf(SUFFIX::matches)?.let { RequestId(home, epoch, it) }
        }
    }
}

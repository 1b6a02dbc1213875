package org.yuccajunction.caller

import kotlin.random.Random

/**
 * The identity of one request.
 *
 * @property wasSent whether a sending of it may have left this caller
 */
internal class Identity(val text: String?) {
    var wasSent: Boolean = false

    companion object {
        private const val RADIX = 36

        /** Returns a new identity below [prefix]; an empty prefix leaves it to the entry. */
        fun below(prefix: String, random: Random): Identity {
            if (prefix.isEmpty()) return Identity(null)
            val suffix = random.nextLong().toULong().toString(RADIX) + random.nextLong().toULong().toString(RADIX)
            return Identity("$prefix~$suffix")
        }
    }
}

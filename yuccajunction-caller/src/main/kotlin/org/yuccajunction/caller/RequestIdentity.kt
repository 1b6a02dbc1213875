package org.yuccajunction.caller

import kotlin.random.Random

/**
 * The identity of one request.
 *
 * @property mayHaveBeenSent whether a sending of it may have left this caller
 */
internal class RequestIdentity(val text: String?) {
    var mayHaveBeenSent: Boolean = false

    companion object {
        private const val RADIX = 36

        /** Returns a new identity below [prefix]; an empty prefix leaves it to the entry. */
        fun withPrefix(prefix: String, random: Random): RequestIdentity {
            if (prefix.isEmpty()) return RequestIdentity(null)
            val suffix = random.nextLong().toULong().toString(RADIX) + random.nextLong().toULong().toString(RADIX)
            return RequestIdentity("$prefix~$suffix")
        }
    }
}

package org.yuccajunction.caller

import kotlin.random.Random

/**
 * Identity of one request, under which an entry executes the request at most once.
 *
 * @property text the identity in header form; null if the entry is to choose one
 * @property mayHaveBeenSent whether a request with this identity may have reached an entry
 */
internal class RequestIdentity(val text: String?) {
    var mayHaveBeenSent: Boolean = false

    companion object {
        private const val RADIX = 36

        /** Returns a new identity with [prefix]; with an empty prefix, the entry chooses one. */
        fun withPrefix(prefix: String, random: Random): RequestIdentity {
            if (prefix.isEmpty()) return RequestIdentity(null)
            val suffix = random.nextLong().toULong().toString(RADIX) + random.nextLong().toULong().toString(RADIX)
            return RequestIdentity("$prefix~$suffix")
        }
    }
}

package org.yuccajunction.gateway

import io.netty.handler.codec.http.HttpHeaders
import org.yuccajunction.forward.RefusalCause
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A peer's statement that it has not executed a request that this entry forwarded through it.
 *
 * Travels in a header between entries that callers never see.
 */
internal class RelayRefusal(val cause: RefusalCause, val retryAfter: Duration) {
    companion object {
        private const val HEADER = "Entry-Refusal"

        /** Adds the refusal [code] with [retryAfter] to [headers]. */
        fun write(headers: HttpHeaders, code: String, retryAfter: Duration) {
            headers.set(HEADER, "$code,${retryAfter.inWholeMilliseconds}")
        }

        /**
         * Returns the refusal in [headers], null where there is none.
         *
         * The peer may know a route or a key not yet, or no longer; its cause then is none of this entry's.
         */
        fun read(headers: HttpHeaders): RelayRefusal? {
            val parts = headers.get(HEADER)?.split(',') ?: return null
            val cause = RefusalCause.of(parts.first()) ?: RefusalCause.NO_CONFIGURATION
            return RelayRefusal(cause, (parts.getOrNull(1)?.toLongOrNull() ?: 0L).milliseconds)
        }
    }
}

package org.yuccajunction.gateway

/** Holds an entry's answer to a request about itself: an HTTP status and a [body] of type [contentType]. */
public class SmallAnswer(
    public val status: Int,
    public val body: String = "",
    public val contentType: String = "text/plain; charset=utf-8",
) {
    public companion object {
        /** The answer for an unknown path. */
        public val NOT_FOUND: SmallAnswer = SmallAnswer(status = 404)
    }
}

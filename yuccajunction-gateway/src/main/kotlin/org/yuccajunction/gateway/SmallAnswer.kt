package org.yuccajunction.gateway

/** A short answer of the entry itself: its status and its [body] of type [contentType]. */
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

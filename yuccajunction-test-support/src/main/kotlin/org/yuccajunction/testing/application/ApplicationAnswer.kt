package org.yuccajunction.testing.application

import kotlinx.serialization.Serializable
import java.security.MessageDigest
import java.util.HexFormat

/** The answer of the application stand-in, which depends on the call alone. */
@Serializable
public data class ApplicationAnswer(
    public val method: String,
    public val target: String,
    public val bodyDigest: String,
) {
    public companion object {
        /** Returns the answer to the call [method] [target] with [body]. */
        public fun to(method: String, target: String, body: ByteArray): ApplicationAnswer {
            val digest = MessageDigest.getInstance("SHA-256").digest(body)
            return ApplicationAnswer(method, target, HexFormat.of().formatHex(digest))
        }
    }
}

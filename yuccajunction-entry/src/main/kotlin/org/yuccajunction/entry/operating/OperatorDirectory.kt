package org.yuccajunction.entry.operating

import org.yuccajunction.document.OperatorRule
import java.security.MessageDigest

/** The operators that may use the operator API, identified by the hash of their bearer token. */
public class OperatorDirectory(private val operators: List<OperatorRule>) {
    /** Returns the operator with the bearer token [token]; null if there is none. */
    public fun find(token: String): OperatorRule? {
        val hash = hashOf(token).toByteArray()
        return operators.filter { MessageDigest.isEqual(it.tokenHash.toByteArray(), hash) }.firstOrNull()
    }

    public companion object {
        /** Returns the SHA-256 of [token] in lower-case hexadecimal. */
        public fun hashOf(token: String): String =
            MessageDigest.getInstance("SHA-256").digest(token.toByteArray()).joinToString("") { "%02x".format(it) }
    }
}

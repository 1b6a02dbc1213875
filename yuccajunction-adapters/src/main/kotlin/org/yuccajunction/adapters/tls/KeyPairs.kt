package org.yuccajunction.adapters.tls

import java.security.GeneralSecurityException
import java.security.PrivateKey
import java.security.PublicKey
import java.security.Signature

/** Checks pairs of public and private keys. */
internal object KeyPairs {
    private val algorithms = mapOf("EC" to "SHA256withECDSA", "RSA" to "SHA256withRSA", "EdDSA" to "EdDSA")
    private val probe = "probe".toByteArray()

    /** Returns whether [publicKey] verifies a signature made with [privateKey]. */
    fun isMatchingPair(publicKey: PublicKey, privateKey: PrivateKey): Boolean {
        val algorithm = algorithms[privateKey.algorithm] ?: return false
        return try {
            val signed = Signature.getInstance(algorithm).run {
                initSign(privateKey)
                update(probe)
                sign()
            }
            Signature.getInstance(algorithm).run {
                initVerify(publicKey)
                update(probe)
                verify(signed)
            }
        } catch (exception: GeneralSecurityException) {
            false
        }
    }
}

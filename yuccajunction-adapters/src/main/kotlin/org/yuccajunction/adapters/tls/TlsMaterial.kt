package org.yuccajunction.adapters.tls

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import org.yuccajunction.model.Finding
import java.security.PrivateKey
import java.security.cert.X509Certificate
import javax.net.ssl.X509ExtendedTrustManager

/** Certificate chain, key and trust manager, read from [TlsFiles] at one time. */
internal class TlsMaterial(
    val chain: List<X509Certificate>,
    val key: PrivateKey,
    val trust: X509ExtendedTrustManager,
) {
    companion object {
        /** Reads [files]; returns a finding if the key isn't that of the first certificate. */
        fun read(files: TlsFiles): Either<Finding, TlsMaterial> =
            either {
                val chain = PemReader.certificates(files.certificate).bind()
                val key = PemReader.privateKey(files.key).bind()
                val trust = PemReader.certificates(files.trust).bind()
                checkKeyMatches(files, chain.first(), key).bind()
                TlsMaterial(chain, key, PemTrust.of(trust))
            }

        private fun checkKeyMatches(
            files: TlsFiles,
            certificate: X509Certificate,
            key: PrivateKey,
        ): Either<Finding, Unit> =
            if (KeyPairs.isMatchingPair(certificate.publicKey, key)) {
                Unit.right()
            } else {
                Finding(files.key.toString(), "", null, "is not the key of ${files.certificate}").left()
            }
    }
}

package org.yuccajunction.adapters.tls

import arrow.core.Either
import org.yuccajunction.model.Finding
import java.nio.file.Path
import java.security.KeyStore
import java.security.cert.X509Certificate
import javax.net.ssl.TrustManagerFactory
import javax.net.ssl.X509ExtendedTrustManager

/** Makes trust managers that trust the certificates of a PEM file and nothing else. */
public object PemTrust {
    /** Reads the trusted certificates in [file]. */
    public fun read(file: String): Either<Finding, X509ExtendedTrustManager> =
        PemReader.certificates(Path.of(file)).map(::of)

    /** Trusts [certificates]. */
    public fun of(certificates: List<X509Certificate>): X509ExtendedTrustManager {
        val store = KeyStore.getInstance(KeyStore.getDefaultType()).apply { load(null, null) }
        certificates.forEachIndexed { index, certificate -> store.setCertificateEntry("trusted-$index", certificate) }
        val factory = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm())
        factory.init(store)
        return factory.trustManagers.filterIsInstance<X509ExtendedTrustManager>().first()
    }
}

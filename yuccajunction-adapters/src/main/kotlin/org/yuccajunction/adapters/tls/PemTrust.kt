package org.yuccajunction.adapters.tls

import arrow.core.Either
import org.yuccajunction.model.Finding
import java.nio.file.Path
import java.security.KeyStore
import java.security.cert.X509Certificate
import javax.net.ssl.TrustManagerFactory
import javax.net.ssl.X509ExtendedTrustManager

/** Creates trust managers that trust only given certificates. */
public object PemTrust {
    /** Returns a trust manager for the certificates in the PEM file [file]. */
    public fun read(file: String): Either<Finding, X509ExtendedTrustManager> =
        PemReader.certificates(Path.of(file)).map(::of)

    /** Returns a trust manager for [certificates]. */
    public fun of(certificates: List<X509Certificate>): X509ExtendedTrustManager {
        val store = KeyStore.getInstance(KeyStore.getDefaultType()).apply { load(null, null) }
        certificates.forEachIndexed { index, certificate -> store.setCertificateEntry("trusted-$index", certificate) }
        val factory = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm())
        factory.init(store)
        return factory.trustManagers.filterIsInstance<X509ExtendedTrustManager>().first()
    }
}

package org.yuccajunction.adapters.tls

import java.net.Socket
import java.security.cert.CertificateException
import java.security.cert.X509Certificate
import javax.net.ssl.SSLEngine
import javax.net.ssl.X509ExtendedTrustManager

/**
 * Accepts certificates that are signed by a trusted certificate that [identity] has at the time of the handshake.
 *
 * Host names and addresses aren't verified: those of instances change, and the trusted certificates sign only entries.
 */
internal class ReloadingTrustManager(private val identity: TlsIdentity) : X509ExtendedTrustManager() {
    override fun checkClientTrusted(chain: Array<X509Certificate>, authType: String) {
        trustManager().checkClientTrusted(chain, authType)
    }

    override fun checkClientTrusted(chain: Array<X509Certificate>, authType: String, socket: Socket?) {
        trustManager().checkClientTrusted(chain, authType)
    }

    override fun checkClientTrusted(chain: Array<X509Certificate>, authType: String, engine: SSLEngine?) {
        trustManager().checkClientTrusted(chain, authType)
    }

    override fun checkServerTrusted(chain: Array<X509Certificate>, authType: String) {
        trustManager().checkServerTrusted(chain, authType)
    }

    override fun checkServerTrusted(chain: Array<X509Certificate>, authType: String, socket: Socket?) {
        trustManager().checkServerTrusted(chain, authType)
    }

    override fun checkServerTrusted(chain: Array<X509Certificate>, authType: String, engine: SSLEngine?) {
        trustManager().checkServerTrusted(chain, authType)
    }

    override fun getAcceptedIssuers(): Array<X509Certificate> =
        identity.currentMaterial()?.trust?.acceptedIssuers ?: emptyArray()

    private fun trustManager(): X509ExtendedTrustManager =
        identity.currentMaterial()?.trust
            ?: throw CertificateException("no trusted certificates: the TLS files were never usable")
}

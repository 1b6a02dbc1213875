package org.yuccajunction.adapters.tls

import java.net.Socket
import java.security.cert.CertificateException
import java.security.cert.X509Certificate
import javax.net.ssl.SSLEngine
import javax.net.ssl.X509ExtendedTrustManager

/**
 * Trusts what the trusted certificates of [identity] have signed at the time of each handshake.
 *
 * Names and addresses are not compared: instances change theirs, and the trusted certificates sign nothing but entries.
 */
internal class ReloadingTrustManager(private val identity: TlsIdentity) : X509ExtendedTrustManager() {
    override fun checkClientTrusted(chain: Array<X509Certificate>, authType: String) {
        trust().checkClientTrusted(chain, authType)
    }

    override fun checkClientTrusted(chain: Array<X509Certificate>, authType: String, socket: Socket?) {
        trust().checkClientTrusted(chain, authType)
    }

    override fun checkClientTrusted(chain: Array<X509Certificate>, authType: String, engine: SSLEngine?) {
        trust().checkClientTrusted(chain, authType)
    }

    override fun checkServerTrusted(chain: Array<X509Certificate>, authType: String) {
        trust().checkServerTrusted(chain, authType)
    }

    override fun checkServerTrusted(chain: Array<X509Certificate>, authType: String, socket: Socket?) {
        trust().checkServerTrusted(chain, authType)
    }

    override fun checkServerTrusted(chain: Array<X509Certificate>, authType: String, engine: SSLEngine?) {
        trust().checkServerTrusted(chain, authType)
    }

    override fun getAcceptedIssuers(): Array<X509Certificate> =
        identity.current()?.trust?.acceptedIssuers ?: emptyArray()

    private fun trust(): X509ExtendedTrustManager =
        identity.current()?.trust ?: throw CertificateException("no trusted certificates could be read")
}

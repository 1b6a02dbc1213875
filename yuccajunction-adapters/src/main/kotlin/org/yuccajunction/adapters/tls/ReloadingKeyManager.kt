package org.yuccajunction.adapters.tls

import java.net.Socket
import java.security.Principal
import java.security.PrivateKey
import java.security.cert.X509Certificate
import java.util.Collections
import java.util.LinkedHashMap
import javax.net.ssl.SSLEngine
import javax.net.ssl.X509ExtendedKeyManager

/** Provides the certificate and key that [identity] has at the time of each handshake. */
internal class ReloadingKeyManager(private val identity: TlsIdentity) : X509ExtendedKeyManager() {
    private val offered = Collections.synchronizedMap(
        object : LinkedHashMap<String, TlsMaterial>() {
            override fun removeEldestEntry(eldest: Map.Entry<String, TlsMaterial>): Boolean =
                size > MAX_OFFERED_MATERIALS
        },
    )

    override fun chooseEngineServerAlias(keyType: String, issuers: Array<Principal>?, engine: SSLEngine?): String? =
        aliasFor(listOf(keyType))

    override fun chooseEngineClientAlias(
        keyTypes: Array<String>,
        issuers: Array<Principal>?,
        engine: SSLEngine?,
    ): String? = aliasFor(keyTypes.toList())

    override fun chooseServerAlias(keyType: String, issuers: Array<Principal>?, socket: Socket?): String? =
        aliasFor(listOf(keyType))

    override fun chooseClientAlias(keyTypes: Array<String>, issuers: Array<Principal>?, socket: Socket?): String? =
        aliasFor(keyTypes.toList())

    override fun getServerAliases(keyType: String, issuers: Array<Principal>?): Array<String>? =
        aliasFor(listOf(keyType))?.let { arrayOf(it) }

    override fun getClientAliases(keyType: String, issuers: Array<Principal>?): Array<String>? =
        aliasFor(listOf(keyType))?.let { arrayOf(it) }

    override fun getCertificateChain(alias: String): Array<X509Certificate>? = offered[alias]?.chain?.toTypedArray()

    override fun getPrivateKey(alias: String): PrivateKey? = offered[alias]?.key

    /**
     * Returns an alias for the current material, or null if its key has another type.
     *
     * A handshake asks for the chain and the key by this alias later, when the files may have changed.
     */
    private fun aliasFor(keyTypes: List<String>): String? {
        val material = identity.currentMaterial() ?: return null
        if (material.key.algorithm !in keyTypes) return null
        val alias = "certificate-" + material.chain.first().serialNumber.toString(HEXADECIMAL)
        offered[alias] = material
        return alias
    }

    private companion object {
        const val MAX_OFFERED_MATERIALS = 4
        const val HEXADECIMAL = 16
    }
}

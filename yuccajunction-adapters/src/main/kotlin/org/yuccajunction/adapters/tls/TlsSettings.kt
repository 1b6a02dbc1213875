package org.yuccajunction.adapters.tls

import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.Finding
import java.net.InetAddress

/**
 * Says whether connections are encrypted.
 *
 * @property files the PEM files; null for plain text
 * @property plainTextAllowed whether plain text may leave loopback
 */
public data class TlsSettings(public val files: TlsFiles? = null, public val plainTextAllowed: Boolean = false) {
    /**
     * Returns what keeps a port at [listen] from being opened with these settings.
     *
     * @param setting the flag or variable that names the port, for the findings
     */
    public fun findings(setting: String, listen: Endpoint): List<Finding> {
        if (files != null) return TlsIdentity(files).findings()
        if (plainTextAllowed || isLoopback(listen)) return emptyList()
        return listOf(Finding(setting, "", null, "$listen is not on loopback; name TLS files or allow plain text"))
    }

    private fun isLoopback(listen: Endpoint): Boolean =
        listen.host == "localhost" ||
            ADDRESS.matches(listen.host) && InetAddress.getByName(listen.host).isLoopbackAddress

    private companion object {
        val ADDRESS = Regex("[0-9.]+|[0-9a-fA-F:]*:[0-9a-fA-F:.]*")
    }
}

package org.yuccajunction.adapters.tls

import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.Finding
import java.net.InetAddress

/**
 * TLS settings of a listening port or client.
 *
 * @property files PEM files, or null for plain text
 * @property plainTextAllowed whether plain text is allowed outside loopback
 */
public data class TlsSettings(public val files: TlsFiles? = null, public val plainTextAllowed: Boolean = false) {
    /**
     * Returns the reasons why a port at [listen] must not be opened with these settings; empty if there are none.
     *
     * @param setting flag or variable that sets the port, named in the findings
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

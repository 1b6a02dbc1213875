package org.yuccajunction.model

import kotlinx.serialization.Serializable

/** An IP address and TCP port on which a process listens; port 0 asks for any free port. */
@Serializable
public data class Endpoint(public val host: String, public val port: Int) {
    init {
        require(host.isNotBlank()) { "host is blank: \"$host\"" }
        require(port in PORTS) { "port is not in 0..65535: $port" }
    }

    override fun toString(): String = if (':' in host) "[$host]:$port" else "$host:$port"

    public companion object {
        private val PORTS = 0..65_535

        /** Parses `host:port` or `[host]:port`; returns null when [text] is neither. */
        public fun parse(text: String): Endpoint? {
            val host = text.substringBeforeLast(':', "").removeSurrounding("[", "]")
            val port = text.substringAfterLast(':').toIntOrNull()
            if (host.isBlank() || port == null || port !in PORTS) return null
            return Endpoint(host, port)
        }
    }
}

package org.yuccajunction.gateway

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/** Headers that concern one connection only. */
internal object HopByHopHeaders {
    private val names =
        setOf(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length",
        )

    /** Copies to [target] what [source] holds for the next hop and [isForwarded] lets through. */
    fun copyEndToEnd(source: HttpHeaders, target: HttpHeaders, isForwarded: (name: String) -> Boolean = { true }) {
        val connectionSpecific = connectionOptions(source)
        for (entry in source.iteratorCharSequence()) {
            val name = entry.key.toString()
            val lower = name.lowercase()
            if (lower !in names && lower !in connectionSpecific && isForwarded(name)) target.add(name, entry.value)
        }
    }

    private fun connectionOptions(headers: HttpHeaders): Set<String> =
        headers
            .getAll(HttpHeaderNames.CONNECTION)
            .flatMap { it.split(',') }
            .mapTo(HashSet()) { it.trim().lowercase() }
}

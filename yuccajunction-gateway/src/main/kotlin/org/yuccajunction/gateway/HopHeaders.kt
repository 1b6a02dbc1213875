package org.yuccajunction.gateway

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/** Headers that concern one connection only. */
internal object HopHeaders {
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

    /** Copies to [target] what [source] holds for the next hop and [isPassedOn] lets through. */
    fun copy(source: HttpHeaders, target: HttpHeaders, isPassedOn: (name: String) -> Boolean = { true }) {
        val listed = connectionOptions(source)
        for (entry in source.iteratorCharSequence()) {
            val name = entry.key.toString()
            val lower = name.lowercase()
            if (lower !in names && lower !in listed && isPassedOn(name)) target.add(name, entry.value)
        }
    }

    private fun connectionOptions(headers: HttpHeaders): Set<String> =
        headers
            .getAll(HttpHeaderNames.CONNECTION)
            .flatMap { it.split(',') }
            .mapTo(HashSet()) { it.trim().lowercase() }
}

package org.yuccajunction.gateway

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpRequest

/** Detects requests whose length can be read in two ways, by which one request can be smuggled within another. */
internal object RequestFraming {
    fun isAmbiguous(request: HttpRequest): Boolean {
        val encodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        val lengths = request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH)
        val isOddEncoding =
            encodings.size > 1 || encodings.any { !it.trim().equals(HttpHeaderValues.CHUNKED.toString(), true) }
        return isOddEncoding || encodings.isNotEmpty() && lengths.isNotEmpty() || lengths.size > 1
    }
}

package org.yuccajunction.gateway

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes answers of a backend server; [isHead] says that the next one has no body. */
internal class ServerAnswerDecoder : HttpResponseDecoder(HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES)) {
    var isHead = false

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean = isHead || super.isContentAlwaysEmpty(message)

    private companion object {
        const val MAX_HEADER_BYTES = 65_536
    }
}

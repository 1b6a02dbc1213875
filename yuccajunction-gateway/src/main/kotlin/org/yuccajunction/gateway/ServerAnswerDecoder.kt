package org.yuccajunction.gateway

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes answers of a backend server; [isAnswerToHead] says that the next one has no body. */
internal class ServerAnswerDecoder : HttpResponseDecoder(HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES)) {
    var isAnswerToHead = false

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        isAnswerToHead || super.isContentAlwaysEmpty(message)

    private companion object {
        const val MAX_HEADER_BYTES = 65_536
    }
}

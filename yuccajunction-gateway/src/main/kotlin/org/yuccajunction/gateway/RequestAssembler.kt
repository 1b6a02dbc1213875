package org.yuccajunction.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException

/** Joins the parts of a caller's request, whose body may have [maxBodyBytes] bytes. */
internal class RequestAssembler(private val maxBodyBytes: Int) {
    private var head: HttpRequest? = null
    private var body: CompositeByteBuf? = null

    /** Whether a request has begun that is not yet whole. */
    var hasPartialRequest = false
        private set

    /** What a part of a request has led to. */
    sealed interface Outcome {
        data object Incomplete : Outcome

        /** The request is whole; its body belongs to the caller of [add]. */
        class Whole(val head: HttpRequest, val body: ByteBuf) : Outcome

        /** The request can't be handled, for the reason [code]. */
        class Rejected(val status: HttpResponseStatus, val code: String) : Outcome
    }

    /** Adds [message], which the caller of this function releases. */
    fun add(message: HttpObject): Outcome {
        if (message.decoderResult().isFailure) return undecodable(message.decoderResult())
        if (message is HttpRequest && !begin(message)) {
            return Outcome.Rejected(HttpResponseStatus.BAD_REQUEST, "ambiguous-length")
        }
        return if (message is HttpContent) addContent(message) else Outcome.Incomplete
    }

    private fun begin(request: HttpRequest): Boolean {
        head = request
        hasPartialRequest = true
        body = Unpooled.compositeBuffer(MAX_BODY_PARTS)
        return !RequestFraming.isAmbiguous(request)
    }

    private fun addContent(content: HttpContent): Outcome {
        val request = head
        val parts = body
        if (request == null || parts == null) return Outcome.Incomplete
        if (parts.readableBytes() + content.content().readableBytes() > maxBodyBytes) {
            return Outcome.Rejected(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body-too-large")
        }
        // A copy of the size of its content: buffers that a socket is read into are larger.
        if (content.content().isReadable) parts.addComponent(true, Unpooled.copiedBuffer(content.content()))
        if (content !is LastHttpContent) return Outcome.Incomplete
        head = null
        body = null
        hasPartialRequest = false
        return Outcome.Whole(request, parts)
    }

    private fun undecodable(result: DecoderResult): Outcome =
        when (result.cause()) {
            is TooLongHttpHeaderException ->
                Outcome.Rejected(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "headers-too-large")
            is TooLongHttpLineException -> Outcome.Rejected(HttpResponseStatus.REQUEST_URI_TOO_LONG, "line-too-long")
            else -> Outcome.Rejected(HttpResponseStatus.BAD_REQUEST, "malformed")
        }

    /** Drops the partial request, if there is one. */
    fun release() {
        head = null
        body?.release()
        body = null
    }

    private companion object {
        const val MAX_BODY_PARTS = 1_024
    }
}

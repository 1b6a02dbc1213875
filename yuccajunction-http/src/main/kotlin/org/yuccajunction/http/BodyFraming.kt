package org.yuccajunction.http

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil

/** How the end of an answer's body is found. */
internal sealed interface BodyFraming {
    /** The answer ends with its head. */
    data object Absent : BodyFraming

    /** The body has [bytes] bytes. */
    data class Length(val bytes: Long) : BodyFraming

    /** The body comes in chunks, with trailers behind the last one. */
    data object Chunked : BodyFraming

    /** The body ends with the connection. */
    data object UntilClose : BodyFraming

    companion object {
        private val BODILESS_STATUSES = setOf(HttpResponseStatus.NO_CONTENT, HttpResponseStatus.NOT_MODIFIED)

        /** Returns the framing of the body of [response], which may be an answer to HEAD. */
        fun of(response: HttpResponse, isAnswerToHead: Boolean): BodyFraming {
            val framing = announced(response)
            val isInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
            return if (isInterim || isAnswerToHead || response.status() in BODILESS_STATUSES) Absent else framing
        }

        private fun announced(response: HttpResponse): BodyFraming =
            when {
                HttpUtil.isTransferEncodingChunked(response) -> Chunked
                HttpUtil.isContentLengthSet(response) -> Length(HttpUtil.getContentLength(response))
                else -> UntilClose
            }
    }
}

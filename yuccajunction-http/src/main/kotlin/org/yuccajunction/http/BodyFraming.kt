package org.yuccajunction.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpVersion

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

        /**
         * Returns the framing of the body of [response], which may be an answer to HEAD.
         *
         * Throws [InvalidAnswerException] where the end of the body can be read in more than one way.
         */
        fun of(response: HttpResponse, isAnswerToHead: Boolean): BodyFraming {
            val framing = announced(response)
            val isInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
            return if (isInterim || isAnswerToHead || response.status() in BODILESS_STATUSES) Absent else framing
        }

        private fun announced(response: HttpResponse): BodyFraming {
            val codings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
            val lengths = response.headers().getAll(HttpHeaderNames.CONTENT_LENGTH)
            if (codings.size + lengths.size > 1) throw InvalidAnswerException("the length is given more than once")
            codings.forEach { checkCoding(response, it) }
            return when {
                codings.isNotEmpty() -> Chunked
                lengths.isNotEmpty() -> Length(AnswerGrammar.contentLength(lengths.single()))
                else -> UntilClose
            }
        }

        private fun checkCoding(response: HttpResponse, coding: String) {
            val isChunked = coding.equals(HttpHeaderValues.CHUNKED.toString(), ignoreCase = true)
            if (!isChunked || response.protocolVersion() == HttpVersion.HTTP_1_0) {
                throw InvalidAnswerException("invalid transfer coding: $coding")
            }
        }
    }
}

/**
 * Returns whether only the end of the connection ends the body of this answer, which may be one to HEAD.
 *
 * Such a body is whole only where that end is the server's own.
 */
public fun HttpResponse.endsWithConnection(isAnswerToHead: Boolean): Boolean =
    BodyFraming.of(this, isAnswerToHead) == BodyFraming.UntilClose

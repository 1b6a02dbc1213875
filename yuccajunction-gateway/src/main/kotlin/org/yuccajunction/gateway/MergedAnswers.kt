package org.yuccajunction.gateway

import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent

/**
 * Recognizes an answer whose head was read as a part of another answer.
 *
 * A server may send a part of an answer and then, on the same connection, the next answer. Where the part ends in its
 * head, in the line of its last chunk or in its trailers, the head of the next answer is the rest, and its status is
 * lost.
 */
internal class MergedAnswers(private val wire: WireProtocol) {
    /** Returns whether [message] contains the status line of another answer, or names a request in its trailers. */
    fun isMerged(message: HttpObject): Boolean =
        message is HttpResponse && (
            hasStatusLine(
                message.status().reasonPhrase(),
            ) || hasStatusLine(message.headers())
            ) ||
            message is LastHttpContent && isHead(message.trailingHeaders())

    private fun isHead(trailers: HttpHeaders): Boolean {
        if (trailers.isEmpty) return false
        val asAnswer = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, trailers)
        return hasStatusLine(trailers) || wire.readAnswer(asAnswer).requestId != null
    }

    private fun hasStatusLine(headers: HttpHeaders): Boolean =
        headers.any { (name, value) -> PROTOCOL in name || hasStatusLine(value) }

    private fun hasStatusLine(text: String): Boolean = PROTOCOL in text && STATUS_LINE.containsMatchIn(text)

    companion object {
        /** What the log says of such an answer. */
        const val DETAIL = "an answer within another one"
        private const val PROTOCOL = "HTTP/"
        private val STATUS_LINE = Regex("""HTTP/\d\.\d \d{3}(?!\S)""")
    }
}

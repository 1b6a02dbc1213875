package org.yuccajunction.gateway

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpVersion
import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.model.MonotonicTime

/**
 * Builds what is sent for each attempt of [request], from the caller's [head] and [body].
 *
 * A backend server gets the method, path and body unchanged, without the headers that are meant for entries alone. A
 * peer gets all headers, since it handles the request as if the caller had sent it there.
 */
internal class OutgoingRequest(
    private val wire: WireProtocol,
    private val request: ForwardRequest,
    private val head: HttpRequest,
    private val body: ByteBuf,
) {
    /** Returns the request to [server] at [now]; a stream resumes after the event [lastEventId], if any. */
    fun to(server: BackendServer, lastEventId: String?, now: MonotonicTime): DefaultFullHttpRequest {
        val headers = DefaultHttpHeaders()
        val left = request.deadline - now
        if (server.isPeerEntry) {
            HopByHopHeaders.copyEndToEnd(head.headers(), headers)
            wire.writeRelayInstructions(headers, left, lastEventId)
        } else {
            HopByHopHeaders.copyEndToEnd(head.headers(), headers, wire::isForwarded)
            val instructions = ServerInstructions(server.id, left, request.workspace, request.rank, lastEventId)
            wire.writeInstructions(headers, instructions)
        }
        if (body.isReadable || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        }
        val content = body.retainedDuplicate()
        val trailers = DefaultHttpHeaders()
        return DefaultFullHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), content, headers, trailers)
    }
}

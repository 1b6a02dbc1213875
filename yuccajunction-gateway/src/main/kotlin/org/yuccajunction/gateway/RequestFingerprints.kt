package org.yuccajunction.gateway

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import org.yuccajunction.model.WorkspaceId
import java.nio.ByteBuffer
import java.security.MessageDigest

/**
 * Computes fingerprints, by which all entries recognize a request that its caller sends again.
 *
 * The fingerprint covers method, host, target, workspace and body. It leaves out what differs from one try to the next,
 * such as the identifier and the time limit.
 */
internal object RequestFingerprints {
    /** Returns the fingerprint of the request with [head] and [body] that belongs to [workspace]. */
    fun of(head: HttpRequest, body: ByteBuf, workspace: WorkspaceId?): Long {
        val digest = MessageDigest.getInstance("SHA-256")
        val host = head.headers().get(HttpHeaderNames.HOST).orEmpty().lowercase()
        for (text in listOf(head.method().name(), host, head.uri(), workspace?.value.orEmpty())) {
            digest.update(text.toByteArray())
            digest.update(SEPARATOR)
        }
        body.nioBuffers().forEach(digest::update)
        return ByteBuffer.wrap(digest.digest()).long
    }

    private const val SEPARATOR: Byte = 0
}

package org.yuccajunction.gateway

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import org.yuccajunction.model.MonotonicTime

/**
 * Holds a caller's whole request.
 *
 * @property receivedAt time at which the last byte was read
 * @property arrivedAt earliest time at which the request may have arrived in the socket
 */
internal class ReceivedRequest(
    val head: HttpRequest,
    val body: ByteBuf,
    val receivedAt: MonotonicTime,
    val arrivedAt: MonotonicTime,
)

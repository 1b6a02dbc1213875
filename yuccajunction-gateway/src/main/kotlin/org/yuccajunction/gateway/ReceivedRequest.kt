package org.yuccajunction.gateway

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import org.yuccajunction.model.MonotonicTime

/** Holds a caller's whole request, whose last byte arrived at [receivedAt]. */
internal class ReceivedRequest(val head: HttpRequest, val body: ByteBuf, val receivedAt: MonotonicTime)

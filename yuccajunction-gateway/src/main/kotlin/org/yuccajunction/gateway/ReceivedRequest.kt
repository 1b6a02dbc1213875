package org.yuccajunction.gateway

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import org.yuccajunction.model.MonotonicTime

/** A caller's request that was read whole at [receivedAt]. */
internal class ReceivedRequest(val head: HttpRequest, val body: ByteBuf, val receivedAt: MonotonicTime)

package org.yuccajunction.adapters.http

import io.ktor.client.network.sockets.ConnectTimeoutException
import java.net.ConnectException
import java.net.NoRouteToHostException
import java.net.UnknownHostException
import java.nio.channels.UnresolvedAddressException

/** Returns whether this failure proves that no connection was made, and so no byte of the request was sent. */
internal fun Throwable.isConnectFailure(): Boolean =
    generateSequence(this) { it.cause }.take(CAUSE_DEPTH_LIMIT).any {
        it is ConnectTimeoutException ||
            it is ConnectException ||
            it is NoRouteToHostException ||
            it is UnknownHostException ||
            it is UnresolvedAddressException
    }

private const val CAUSE_DEPTH_LIMIT = 8

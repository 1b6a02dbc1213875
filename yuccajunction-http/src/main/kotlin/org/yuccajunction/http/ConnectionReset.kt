package org.yuccajunction.http

import io.netty.channel.Channel
import io.netty.channel.ChannelException
import io.netty.channel.ChannelOption

/**
 * Closes this connection by a TCP reset.
 *
 * After an orderly close the system goes on sending what has not arrived, for minutes where the other side is cut off.
 * After a reset it drops these bytes, so that a request that was given up does not arrive later.
 */
public fun Channel.reset() {
    try {
        config().setOption(ChannelOption.SO_LINGER, 0)
    } catch (_: ChannelException) {
        // The connection has already ended, and with it what had not arrived.
    }
    close()
}

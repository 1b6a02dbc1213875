package org.yuccajunction.port

import kotlinx.collections.immutable.PersistentList
import org.yuccajunction.capacity.InstanceOrder
import org.yuccajunction.capacity.ReclaimNotice
import org.yuccajunction.model.InstanceId

/** The cloud's API for starting and stopping instances. */
public interface CloudApi {
    /** Starts the instance named in [order]; repeating an order with the same name starts nothing new. */
    public suspend fun start(order: InstanceOrder): StartOutcome

    /** Stops [instance], which need not exist; returns whether the cloud answered. */
    public suspend fun stop(instance: InstanceId): Boolean

    /** Returns the announced reclaims of instances; null when the cloud did not answer. */
    public suspend fun readReclaimNotices(): PersistentList<ReclaimNotice>?
}

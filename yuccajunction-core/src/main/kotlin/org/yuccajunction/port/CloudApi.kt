package org.yuccajunction.port

import kotlinx.collections.immutable.PersistentList
import org.yuccajunction.capacity.InstanceOrder
import org.yuccajunction.capacity.ReclaimNotice
import org.yuccajunction.model.InstanceId

/** The cloud's API for starting and stopping instances. */
public interface CloudApi {
    /** Starts the named instance, or finds that it was started before under the same name. */
    public suspend fun start(order: InstanceOrder): StartOutcome

    /** Stops the named instance; a name that does not exist is no error. Returns whether the answer came. */
    public suspend fun stop(instance: InstanceId): Boolean

    /** Reads the announced reclaims; returns null when they can't be had. */
    public suspend fun readReclaimNotices(): PersistentList<ReclaimNotice>?
}

package org.yuccajunction.port

import kotlinx.collections.immutable.PersistentList
import org.yuccajunction.model.PlatformInstance

/** The platform's list of live and leaving instances, which lags. */
public fun interface InstanceList {
    /** Reads the list; returns null when it can't be had. */
    public suspend fun read(): PersistentList<PlatformInstance>?
}

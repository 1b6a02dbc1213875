package org.yuccajunction.port

import kotlinx.collections.immutable.PersistentList
import org.yuccajunction.model.PlatformInstance

/** The platform's list of live and leaving instances, which lags behind the actual state. */
public fun interface InstanceList {
    /** Returns the list; null when the platform did not answer. */
    public suspend fun read(): PersistentList<PlatformInstance>?
}

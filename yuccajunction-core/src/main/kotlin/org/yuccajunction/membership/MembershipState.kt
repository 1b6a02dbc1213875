package org.yuccajunction.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.PlatformInstance

/**
 * The entries and instances that this entry knows of.
 *
 * @property peers the other entries, by instance
 * @property instances the platform's instance list as last read
 * @property listedAt when [instances] was read, null before the first time
 * @property listing when the instance list is to be read next
 */
public data class MembershipState(
    public val self: EntryState,
    public val peers: PersistentMap<InstanceId, PeerRecord> = persistentMapOf(),
    public val instances: PersistentMap<InstanceId, PlatformInstance> = persistentMapOf(),
    public val listedAt: MonotonicTime? = null,
    public val lastBeatAt: MonotonicTime? = null,
    public val listing: Polling = Polling(),
)

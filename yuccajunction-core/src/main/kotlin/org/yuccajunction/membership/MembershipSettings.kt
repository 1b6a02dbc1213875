package org.yuccajunction.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * How entries keep in touch.
 *
 * @property heartbeatInterval time between two rounds of heartbeats
 * @property suspicionTimeout silence after which a watched peer is suspected
 * @property isolationTimeout time without any word from a peer or the platform after which this entry is isolated
 * @property partnerCount peers that an entry exchanges heartbeats with besides those that it watches
 * @property partnerLifetime time after which the oldest partner is replaced by a random peer
 * @property announcementInterval least time between two announcements of changes that can wait
 * @property announcementIntervalPerPeer the same for each peer, so that news per second don't grow with the fleet
 * @property removalDelay how long a peer must be suspected and missing from the list before it is forgotten
 */
public data class MembershipSettings(
    public val heartbeatInterval: Duration = 1.seconds,
    public val suspicionTimeout: Duration = 6.seconds,
    public val isolationTimeout: Duration = 10.seconds,
    public val partnerCount: Int = 3,
    public val partnerLifetime: Duration = 30.seconds,
    public val announcementInterval: Duration = 2.seconds,
    public val announcementIntervalPerPeer: Duration = 500.milliseconds,
    public val removalDelay: Duration = 10.seconds,
    public val removedEntryRetention: Duration = 2.minutes,
)

package org.yuccajunction.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the gossip protocol between entries.
 *
 * @property heartbeatInterval time between two rounds of heartbeats
 * @property suspicionTimeout time without a message after which a watched peer is suspected
 * @property isolationTimeout time without contact to any peer or the platform after which this entry is isolated
 * @property partnerCount peers that an entry exchanges heartbeats with besides those that it watches
 * @property partnerLifetime time after which the oldest partner is replaced by a random peer
 * @property announcementInterval least time between two announcements of changes that aren't urgent
 * @property announcementIntervalPerPeer least time between two such announcements for each live peer, so that the
 * updates per second don't grow with the number of entries
 * @property removalDelay time for which a peer must be suspected before its record is removed, given that the platform
 * no longer lists the peer
 * @property removedEntryRetention time for which a removed entry is remembered, so that older updates don't restore it
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

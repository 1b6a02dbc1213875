package org.yuccajunction.membership

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.PlatformInstance
import kotlin.time.Duration

/**
 * The entries and instances that this entry knows.
 *
 * @property self this entry's own state
 * @property peers the other entries, by instance
 * @property instances the platform's instance list as last read
 * @property listedInstances the rows of [instances] in the order of the list; the same object as long as the list is
 * unchanged
 * @property listedEntries the entries among [listedInstances]
 * @property listedAt when [instances] was last read, null before the first time
 * @property lastRoundAt when the last round of heartbeats was sent, null before the first
 * @property nextRoundAt when the next round is due, null for at once
 * @property instanceListPolling when the instance list is next read
 * @property lastContactAt when this entry last received a message from any peer, null before the first
 * @property watchedSince the peers that this entry watches, with the time since when
 * @property partners peers that get heartbeats besides the watched ones, the oldest first
 * @property removed entries whose records were removed lately
 * @property load open requests divided by the entry's limit as last measured, from 0 to 1
 * @property lastAnnouncedAt when [lastAnnounced] last changed, null before the first announcement
 * @property round number of rounds of heartbeats so far
 * @property lastAnnounced [self] as last announced, when it got its current state version
 * @property peersDigest digest of [peers]; [withPeer] and [withoutPeer] change both together
 */
public data class MembershipState(
    public val self: EntryState,
    public val peers: PersistentMap<InstanceId, PeerRecord> = persistentMapOf(),
    public val instances: PersistentMap<InstanceId, PlatformInstance> = persistentMapOf(),
    public val listedInstances: PersistentList<PlatformInstance> = persistentListOf(),
    public val listedEntries: PersistentSet<InstanceId> = persistentSetOf(),
    public val listedAt: MonotonicTime? = null,
    public val lastRoundAt: MonotonicTime? = null,
    public val nextRoundAt: MonotonicTime? = null,
    public val instanceListPolling: PollSchedule = PollSchedule(),
    public val lastContactAt: MonotonicTime? = null,
    public val watchedSince: PersistentMap<InstanceId, MonotonicTime> = persistentMapOf(),
    public val partners: PersistentList<Partner> = persistentListOf(),
    public val removed: PersistentMap<InstanceId, RemovedEntry> = persistentMapOf(),
    public val load: Double = 0.0,
    public val lastAnnouncedAt: MonotonicTime? = null,
    public val round: Long = 0,
    public val lastAnnounced: EntryState = self,
    public val peersDigest: MembershipDigest = MembershipDigest.of(peers.values.map { it.update }),
) {
    /** The peers that are not suspected. */
    public val livePeers: List<PeerRecord> get() = peers.values.filterNot { it.suspected }

    /** Hashes of all entry states that this entry knows, its own included. */
    public val digest: MembershipDigest get() = peersDigest.toggled(MembershipUpdate(self))

    /** Returns this state with [peer] in place of any earlier record of the same instance. */
    public fun withPeer(peer: PeerRecord): MembershipState {
        val instance = peer.state.entry.instance
        val before = peers[instance]
        val others = if (before == null) peersDigest else peersDigest.toggled(before.update)
        return copy(peers = peers.put(instance, peer), peersDigest = others.toggled(peer.update))
    }

    /** Returns this state without the record of [instance]. */
    public fun withoutPeer(instance: InstanceId): MembershipState {
        val before = peers[instance] ?: return this
        return copy(peers = peers.remove(instance), peersDigest = peersDigest.toggled(before.update))
    }

    /**
     * Returns whether this entry has had contact with neither the platform nor any peer for [timeout].
     *
     * An isolated entry can't know which shares of a backend server's limit other entries use; the isolated entry must
     * use no more than could be granted to it alone. An entry that has not yet had any contact is isolated.
     */
    public fun isIsolated(now: MonotonicTime, timeout: Duration = MembershipSettings().isolationTimeout): Boolean {
        val heardAt = listOfNotNull(listedAt, lastContactAt).maxOrNull() ?: return true
        return now - heardAt >= timeout
    }

    /**
     * Returns this state after [change] to the entry's own state, which peers must learn at once.
     *
     * The next round of heartbeats is due at once where [change] has an effect.
     */
    public fun withAnnouncedChange(now: MonotonicTime, change: (EntryState) -> EntryState): MembershipState {
        val changed = change(self)
        if (changed == self) return this
        return withAnnouncement(changed, self.stateVersion + 1, now).copy(nextRoundAt = null)
    }

    /** Returns this state with [state] as the entry's own state, announced to peers under [stateVersion]. */
    internal fun withAnnouncement(state: EntryState, stateVersion: Long, now: MonotonicTime): MembershipState {
        val next = state.copy(stateVersion = stateVersion)
        return copy(self = next, lastAnnounced = next, lastAnnouncedAt = now)
    }
}

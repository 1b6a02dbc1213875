package org.yuccajunction.gateway

import kotlinx.coroutines.delay
import org.yuccajunction.control.LogEvent
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.port.ExpectedVersion
import org.yuccajunction.port.ObjectListing
import org.yuccajunction.port.ObjectStore
import org.yuccajunction.port.ObjectVersion
import org.yuccajunction.port.ObjectWriting
import org.yuccajunction.port.StoreEra
import org.yuccajunction.port.StoredObject
import org.yuccajunction.quota.QuotaMemberListing
import org.yuccajunction.quota.QuotaMembership
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The memberships in the store by which entries divide the quotas; [QuotaMembership] says why they add up.
 *
 * Each member is one object. An object that can't be read counts as a member that uses a part. Confined to the control
 * thread.
 *
 * @property name instance name of this entry
 * @property clock reads the clock of the memberships, which includes suspensions of the machine
 * @property onListed records a listing at the traffic thread
 * @property awaitedMembers returns the names of the members that are not known to count this entry
 * @property isDutyHolder returns whether this entry removes the members that have ended
 * @property livePeers returns the names of the live peers
 */
internal class QuotaMembers(
    private val store: ObjectStore,
    private val log: DecisionLog,
    private val name: String,
    private val clock: () -> MonotonicTime,
    private val onListed: (QuotaMemberListing) -> Unit,
    private val awaitedMembers: suspend () -> Set<String>,
    private val isDutyHolder: () -> Boolean,
    private val livePeers: () -> Set<String>,
) {
    private var members: Map<String, Member> = emptyMap()

    /** Version of the store up to which all changes of [members] are known, null where they are to be listed. */
    private var version: ObjectVersion? = null
    private var era: StoreEra? = null
    private val silentSince = HashMap<String, MonotonicTime>()
    private var isUsingPart = false

    /** Joins the members and watches them; joins anew where the store no longer names this entry. */
    suspend fun follow() {
        // After a failure, the changes that the last call returned may not have been taken in.
        version = null
        while (true) {
            if (!refresh()) continue
            when (members[name]?.mayUsePart) {
                null -> write(ExpectedVersion.Absent, JOINING)
                false -> useOnceCounted(members.getValue(name).version)
                true -> removeSilentMembers()
            }
        }
    }

    /** Lists the members or waits for a change of them; returns whether they are known now. */
    private suspend fun refresh(): Boolean {
        val startedAt = clock()
        val after = version.takeIf { store.era == era }
        when (val listing = if (after == null) store.list(KIND) else store.watch(KIND, after, WATCH_TIMEOUT)) {
            is ObjectListing.Listed -> accept(listing, isFullList = after == null, startedAt)
            is ObjectListing.Compacted -> version = null
            is ObjectListing.Unavailable -> retryLater("list", listing)
        }
        return version != null && store.era == era
    }

    private suspend fun accept(listing: ObjectListing.Listed, isFullList: Boolean, startedAt: MonotonicTime) {
        val removed = listing.objects.filter { it.value == null }.mapTo(HashSet()) { nameOf(it) }
        val changed =
            listing.objects
                .filter { it.value != null && nameOf(it).isNotBlank() && nameOf(it).length <= MAX_NAME_LENGTH }
                .associate { nameOf(it) to Member(it.version, it.value != JOINING) }
        members = if (isFullList) changed else members - removed + changed
        version = listing.version
        era = listing.era
        onListed(QuotaMemberListing(startedAt, members.mapValues { it.value.mayUsePart }))
        recordUse()
        if (!isFullList && listing.objects.isNotEmpty()) delay(GATHERING_TIME)
    }

    private fun nameOf(stored: StoredObject): String = stored.key.substringAfter('/')

    /** Stores the right to use a part once no member is awaited; the listing that follows comes after that write. */
    private suspend fun useOnceCounted(version: ObjectVersion) {
        val deadline = clock() + WATCH_TIMEOUT
        while (awaitedMembers().isNotEmpty()) {
            if (clock() >= deadline) return
            delay(AWAIT_INTERVAL)
        }
        write(ExpectedVersion.Is(version), USING)
    }

    private suspend fun write(expected: ExpectedVersion, value: String) {
        val writing = store.write("$KIND/$name", value, expected)
        if (writing !is ObjectWriting.Written && writing !is ObjectWriting.Conflict) retryLater("write", writing)
    }

    /** Removes members that have been silent for so long that their parts should be used by the others. */
    private suspend fun removeSilentMembers() {
        val now = clock()
        val silent = members.keys - livePeers() - name
        silentSince.keys.retainAll(silent)
        silent.forEach { silentSince.putIfAbsent(it, now) }
        if (!isDutyHolder()) return
        for ((member, since) in silentSince.filterValues { now - it >= SILENCE_TIMEOUT }) {
            val removal = store.remove("$KIND/$member", ExpectedVersion.Is(members.getValue(member).version))
            if (removal !is ObjectWriting.Written) continue
            log.write(LogEvent.QUOTA_MEMBER_REMOVED) {
                field("entry", member)
                field("silentMillis", (now - since).inWholeMilliseconds)
            }
        }
    }

    private fun recordUse() {
        val mayUsePart = members[name]?.mayUsePart == true
        if (mayUsePart == isUsingPart) return
        isUsingPart = mayUsePart
        log.write(if (mayUsePart) LogEvent.QUOTA_PART_USED else LogEvent.QUOTA_PART_LOST)
    }

    private suspend fun retryLater(call: String, outcome: Any) {
        log.write(LogEvent.QUOTA_MEMBERSHIP_FAILED) {
            field("call", call)
            field("outcome", outcome)
        }
        delay(RETRY_DELAY)
    }

    private class Member(val version: ObjectVersion, val mayUsePart: Boolean)

    private companion object {
        const val KIND = "quota-members"
        const val JOINING = "\"joining\""
        const val USING = "\"using\""

        /** Names of entries go into each heartbeat. */
        const val MAX_NAME_LENGTH = 1_024
        val RETRY_DELAY: Duration = 500.milliseconds

        /** A few times shorter than [QuotaMembership.VALIDITY], so that one lost answer costs no part. */
        val WATCH_TIMEOUT: Duration = 6.seconds
        val GATHERING_TIME: Duration = 200.milliseconds
        val AWAIT_INTERVAL: Duration = 200.milliseconds

        /** Longer than most cuts last, since an entry that is cut off and removed serves nothing that has a quota. */
        val SILENCE_TIMEOUT: Duration = 30.seconds
    }
}

package org.yuccajunction.gateway

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import org.yuccajunction.control.LogEvent
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.port.ObjectListing
import org.yuccajunction.port.ObjectStore
import org.yuccajunction.port.ObjectVersion
import org.yuccajunction.port.StoredObject
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Follows the objects of one kind: lists them once, then watches for changes, and lists anew when history is lost.
 *
 * @property kind kind of the objects
 * @property watchTimeout reads how long one watch waits for a change
 * @property isHealthProbe whether this follower decides whether the store answers, and asks while it does not
 * @property gatheringTime time after a change in which further changes are left to gather
 * @property listed takes over a whole list
 * @property changed takes over changed objects; one without a value was removed
 * @property confirmed is told the start of each call that proved what is known to be current
 */
internal class StoreFollower(
    private val store: ObjectStore,
    private val health: StoreHealth,
    private val log: DecisionLog,
    private val clock: SuspensionAwareClock,
    val kind: String,
    private val watchTimeout: () -> Duration,
    private val isHealthProbe: Boolean = false,
    val gatheringTime: Duration = Duration.ZERO,
    private val onListed: (List<StoredObject>) -> Unit,
    private val onChanged: (List<StoredObject>) -> Unit,
    private val onConfirmed: (MonotonicTime) -> Unit = {},
) {
    private val isRefreshRequested = MutableStateFlow(false)

    /** Version of the store up to which all changes are known here, null before the first list. */
    var version: ObjectVersion? = null
        private set

    /** Until when lists that are older than what is known are asked for again, null where none was seen. */
    private var rejectStaleUntil: MonotonicTime? = null
    private var newestKnown = ObjectVersion(0)

    /** Version of the newest change that is known here. */
    var newestChange = ObjectVersion(0)
        private set

    /** Asks the store for its answer at once, instead of waiting longer for a change. */
    fun refresh() {
        isRefreshRequested.value = true
    }

    suspend fun follow() {
        while (true) {
            if (!isHealthProbe) health.awaitAvailable()
            followOnce()
        }
    }

    private suspend fun followOnce() {
        val startedAt = clock.now()
        val after = version
        val listing = if (after == null) store.list(kind) else watch(after)
        when (listing) {
            null -> Unit
            is ObjectListing.Listed -> {
                if (isHealthProbe) health.storeAnswered()
                if (isStale(listing, startedAt)) return delayRetry()
                accept(listing, isFullList = after == null, startedAt)
                if (listing.objects.isNotEmpty()) delay(gatheringTime)
            }
            is ObjectListing.Compacted -> {
                version = null
                log.write(LogEvent.HISTORY_LOST) { field("kind", kind) }
            }
            is ObjectListing.Unavailable -> {
                if (isHealthProbe) health.storeFailed("$kind: ${listing.detail}")
                delayRetry()
            }
        }
    }

    private suspend fun delayRetry() {
        delay(Random.nextLong(MIN_RETRY_DELAY_MILLIS, MAX_RETRY_DELAY_MILLIS).milliseconds)
    }

    private suspend fun watch(after: ObjectVersion): ObjectListing? {
        if (!isRefreshRequested.value && (!isHealthProbe || health.isAvailable.value)) return waitForChange(after)
        isRefreshRequested.value = false
        return store.watch(kind, after, PROBE_WATCH_TIMEOUT)
    }

    /** Gives up once asked, or when the store is known to be away, as the connection may be silent for good. */
    private suspend fun waitForChange(after: ObjectVersion): ObjectListing? {
        var listing: ObjectListing? = null
        coroutineScope {
            val watch = launch { listing = store.watch(kind, after, watchTimeout()) }
            val guards =
                listOf(
                    launch {
                        isRefreshRequested.first { it }
                        watch.cancel()
                    },
                    launch {
                        if (isHealthProbe) awaitCancellation()
                        health.awaitUnavailable()
                        watch.cancel()
                    },
                )
            watch.join()
            guards.forEach { it.cancel() }
        }
        return listing
    }

    /** Whether the store answered from a state before what is known here, as some of its parts may lag. */
    private fun isStale(listing: ObjectListing.Listed, now: MonotonicTime): Boolean {
        if (listing.version.value >= newestKnown.value) {
            rejectStaleUntil = null
            return false
        }
        val until = rejectStaleUntil ?: (now + MAX_STORE_LAG).also { rejectStaleUntil = it }
        log.write(LogEvent.LISTING_STALE) {
            field("kind", kind)
            field("version", listing.version)
            field("known", newestKnown)
        }
        return now < until
    }

    private fun accept(listing: ObjectListing.Listed, isFullList: Boolean, startedAt: MonotonicTime) {
        version = listing.version
        newestKnown = listing.version
        newestChange = listing.objects.maxOfOrNull { it.version.value }?.let(::ObjectVersion) ?: newestChange
        if (isFullList) {
            onListed(listing.objects)
        } else if (listing.objects.isNotEmpty()) {
            onChanged(listing.objects)
        }
        onConfirmed(startedAt)
    }

    private companion object {
        /** Wait of a watch that asks whether the store is back. */
        val PROBE_WATCH_TIMEOUT: Duration = 20.milliseconds

        /** Time after which a store whose versions went back is believed. */
        val MAX_STORE_LAG: Duration = 6.seconds
        const val MIN_RETRY_DELAY_MILLIS = 80L
        const val MAX_RETRY_DELAY_MILLIS = 250L
    }
}

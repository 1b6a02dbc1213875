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
 * @property wait reads how long one watch waits for a change
 * @property isProbe whether this follower decides whether the store answers, and asks while it does not
 * @property pause time after a change in which further changes are left to gather
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
    private val wait: () -> Duration,
    private val isProbe: Boolean = false,
    val pause: Duration = Duration.ZERO,
    private val listed: (List<StoredObject>) -> Unit,
    private val changed: (List<StoredObject>) -> Unit,
    private val confirmed: (MonotonicTime) -> Unit = {},
) {
    private val isAsked = MutableStateFlow(false)

    /** Version of the store up to which all changes are known here, null before the first list. */
    var version: ObjectVersion? = null
        private set

    /** Until when lists that are older than what is known are asked for again, null where none was seen. */
    private var staleUntil: MonotonicTime? = null
    private var newestKnown = ObjectVersion(0)

    /** Version of the newest change that is known here. */
    var newestChange = ObjectVersion(0)
        private set

    /** Asks the store for its answer at once, instead of waiting longer for a change. */
    fun ask() {
        isAsked.value = true
    }

    suspend fun run() {
        while (true) {
            if (!isProbe) health.awaitUp()
            step()
        }
    }

    private suspend fun step() {
        val startedAt = clock.now()
        val after = version
        val listing = if (after == null) store.list(kind) else watch(after)
        when (listing) {
            null -> Unit
            is ObjectListing.Listed -> {
                if (isProbe) health.answered()
                if (isStale(listing, startedAt)) return pauseBriefly()
                takeOver(listing, isWhole = after == null, startedAt)
                if (listing.objects.isNotEmpty()) delay(pause)
            }
            is ObjectListing.Compacted -> {
                version = null
                log.write(LogEvent.HISTORY_LOST) { field("kind", kind) }
            }
            is ObjectListing.Unavailable -> {
                if (isProbe) health.failed("$kind: ${listing.detail}")
                pauseBriefly()
            }
        }
    }

    private suspend fun pauseBriefly() {
        delay(Random.nextLong(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS).milliseconds)
    }

    private suspend fun watch(after: ObjectVersion): ObjectListing? {
        if (!isAsked.value && (!isProbe || health.isUp.value)) return waitForChange(after)
        isAsked.value = false
        return store.watch(kind, after, PROBE_WAIT)
    }

    /** Gives up once asked, or when the store is known to be away, as the connection may be silent for good. */
    private suspend fun waitForChange(after: ObjectVersion): ObjectListing? {
        var listing: ObjectListing? = null
        coroutineScope {
            val watch = launch { listing = store.watch(kind, after, wait()) }
            val guards =
                listOf(
                    launch {
                        isAsked.first { it }
                        watch.cancel()
                    },
                    launch {
                        if (isProbe) awaitCancellation()
                        health.awaitDown()
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
            staleUntil = null
            return false
        }
        val until = staleUntil ?: (now + MAX_LAG).also { staleUntil = it }
        log.write(LogEvent.LISTING_STALE) {
            field("kind", kind)
            field("version", listing.version)
            field("known", newestKnown)
        }
        return now < until
    }

    private fun takeOver(listing: ObjectListing.Listed, isWhole: Boolean, startedAt: MonotonicTime) {
        version = listing.version
        newestKnown = listing.version
        newestChange = listing.objects.maxOfOrNull { it.version.value }?.let(::ObjectVersion) ?: newestChange
        if (isWhole) {
            listed(listing.objects)
        } else if (listing.objects.isNotEmpty()) {
            changed(listing.objects)
        }
        confirmed(startedAt)
    }

    private companion object {
        /** Wait of a watch that asks whether the store is back. */
        val PROBE_WAIT: Duration = 20.milliseconds

        /** Time after which a store whose versions went back is believed. */
        val MAX_LAG: Duration = 6.seconds
        const val MIN_PAUSE_MILLIS = 80L
        const val MAX_PAUSE_MILLIS = 250L
    }
}

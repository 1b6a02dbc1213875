package org.yuccajunction.gateway

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
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

/**
 * Follows the objects of one kind: lists them once, then watches for changes, and lists anew when history is lost.
 *
 * @property kind kind of the objects
 * @property wait how long one watch waits for a change
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
    private val kind: String,
    private val wait: Duration,
    private val isProbe: Boolean = false,
    private val pause: Duration = Duration.ZERO,
    private val listed: (List<StoredObject>) -> Unit,
    private val changed: (List<StoredObject>) -> Unit,
    private val confirmed: (MonotonicTime) -> Unit = {},
) {
    private var version: ObjectVersion? = null

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
                takeOver(listing, isWhole = after == null, startedAt)
                if (listing.objects.isNotEmpty()) delay(pause)
            }
            is ObjectListing.Compacted -> {
                version = null
                log.write(LogEvent.HISTORY_LOST) { field("kind", kind) }
            }
            is ObjectListing.Unavailable -> {
                if (isProbe) health.failed("$kind: ${listing.detail}")
                delay(Random.nextLong(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS).milliseconds)
            }
        }
    }

    /** Watches, but gives up as soon as the store is known to be away, as the connection may be silent for good. */
    private suspend fun watch(after: ObjectVersion): ObjectListing? {
        if (isProbe) return store.watch(kind, after, if (health.isUp.value) wait else PROBE_WAIT)
        var listing: ObjectListing? = null
        coroutineScope {
            val watch = launch { listing = store.watch(kind, after, wait) }
            val guard =
                launch {
                    health.awaitDown()
                    watch.cancel()
                }
            watch.join()
            guard.cancel()
        }
        return listing
    }

    private fun takeOver(listing: ObjectListing.Listed, isWhole: Boolean, startedAt: MonotonicTime) {
        if (isProbe) health.answered()
        version = listing.version
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
        const val MIN_PAUSE_MILLIS = 80L
        const val MAX_PAUSE_MILLIS = 250L
    }
}

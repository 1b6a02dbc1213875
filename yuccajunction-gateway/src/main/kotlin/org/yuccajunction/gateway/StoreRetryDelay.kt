package org.yuccajunction.gateway

import kotlinx.coroutines.delay
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The delay before a failed call to the store is repeated; it doubles with each failure.
 *
 * @property longest returns the longest delay
 */
internal class StoreRetryDelay(private val longest: () -> Duration) {
    private var next = FIRST

    suspend fun await() {
        delay(minOf(next, longest()) * Random.nextDouble(MIN_JITTER, 1.0))
        next = minOf(next * 2, longest())
    }

    /** Starts anew after a call that succeeded. */
    fun reset() {
        next = FIRST
    }

    private companion object {
        val FIRST = 250.milliseconds
        const val MIN_JITTER = 0.32
    }
}

package org.yuccajunction.caller

import kotlinx.coroutines.delay
import org.yuccajunction.model.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Selects the entry for each try of one request, and waits for a backoff between tries, until the deadline. */
internal class EntryRetries(
    private val addressCache: EntryAddressCache,
    private val deadline: MonotonicTime,
    private val clock: () -> MonotonicTime,
    private val random: Random,
) {
    private val failed = mutableSetOf<String>()
    private var preferred: String? = null

    /** Returns the entry for the next try: the preferred one, else the first that hasn't failed in this round. */
    suspend fun nextEntry(): NamedEntry {
        val known = addressCache.entries()
        val named = preferred
        preferred = null
        if (named != null) return known.firstOrNull { it.address == named } ?: NamedEntry(named)
        return known.firstOrNull { it.address !in failed } ?: known.first().also { failed.clear() }
    }

    /** Makes the entry at [address] the one for the next try. */
    fun preferEntry(address: String) {
        preferred = address
    }

    fun newIdentity(entry: NamedEntry): RequestIdentity = RequestIdentity.withPrefix(entry.identityPrefix, random)

    /** Records a failure of [entry] and waits for a short backoff; returns whether there is time for another try. */
    suspend fun backOffAfterFailure(entry: NamedEntry): Boolean {
        failed += entry.address
        return backOff(RETRY_BACKOFF)
    }

    /**
     * Records a refusal by [entry] and waits for the time that [problem] asks for.
     *
     * Returns whether there is time for another try; false if [problem] asks for no retry.
     */
    suspend fun backOffAfterRefusal(entry: NamedEntry, problem: Problem): Boolean {
        failed += entry.address
        val retryAfter = problem.retryAfterSeconds ?: return false
        return backOff(retryAfter.seconds)
    }

    private suspend fun backOff(atLeast: Duration): Boolean {
        val backoff = atLeast + random.nextInt(JITTER_MILLIS).milliseconds
        if (clock() + backoff >= deadline) return false
        delay(backoff)
        return true
    }

    private companion object {
        const val JITTER_MILLIS = 100
        val RETRY_BACKOFF = 50.milliseconds
    }
}

package org.yuccajunction.caller

import kotlinx.coroutines.delay
import org.yuccajunction.model.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The entries that one request is tried at, one after the other, until its time is over. */
internal class EntryRetries(
    private val addressCache: EntryAddressCache,
    private val deadline: MonotonicTime,
    private val clock: () -> MonotonicTime,
    private val random: Random,
) {
    private val failed = mutableSetOf<String>()
    private var preferred: String? = null

    /** Returns the next entry to try: a preferred one first, then those that have not failed this request. */
    suspend fun nextEntry(): NamedEntry {
        val known = addressCache.entries()
        val named = preferred
        preferred = null
        if (named != null) return known.firstOrNull { it.address == named } ?: NamedEntry(named)
        return known.firstOrNull { it.address !in failed } ?: known.first().also { failed.clear() }
    }

    /** Tries [address] next. */
    fun preferEntry(address: String) {
        preferred = address
    }

    fun newIdentity(entry: NamedEntry): RequestIdentity = RequestIdentity.withPrefix(entry.identityPrefix, random)

    /** Notes that [entry] failed and waits a little; returns whether there is time for another try. */
    suspend fun backOffAfterFailure(entry: NamedEntry): Boolean {
        failed += entry.address
        return backOff(RETRY_BACKOFF)
    }

    /** Waits as long as [problem] asks for; returns whether there is time for another try. */
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

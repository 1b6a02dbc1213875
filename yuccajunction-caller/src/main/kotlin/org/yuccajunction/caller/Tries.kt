package org.yuccajunction.caller

import kotlinx.coroutines.delay
import org.yuccajunction.model.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The entries that one request is tried at, one after the other, until its time is over. */
internal class Tries(
    private val addresses: AddressBook,
    private val endsAt: MonotonicTime,
    private val clock: () -> MonotonicTime,
    private val random: Random,
) {
    private val failed = mutableSetOf<String>()
    private var preferred: String? = null

    /** Returns the next entry to try: a preferred one first, then those that have not failed this request. */
    suspend fun next(): NamedEntry {
        val known = addresses.entries()
        val named = preferred
        preferred = null
        if (named != null) return known.firstOrNull { it.address == named } ?: NamedEntry(named)
        return known.firstOrNull { it.address !in failed } ?: known.first().also { failed.clear() }
    }

    /** Tries [address] next. */
    fun prefer(address: String) {
        preferred = address
    }

    fun newIdentity(entry: NamedEntry): Identity = Identity.below(entry.identityPrefix, random)

    /** Notes that [entry] failed and waits a little; returns whether there is time for another try. */
    suspend fun failedAt(entry: NamedEntry): Boolean {
        failed += entry.address
        return pause(RETRY_PAUSE)
    }

    /** Waits as long as [problem] asks for; returns whether there is time for another try. */
    suspend fun refusedAt(entry: NamedEntry, problem: Problem): Boolean {
        failed += entry.address
        val asked = problem.retryAfterSeconds ?: return false
        return pause(asked.seconds)
    }

    private suspend fun pause(atLeast: Duration): Boolean {
        val pause = atLeast + random.nextInt(JITTER_MILLIS).milliseconds
        if (clock() + pause >= endsAt) return false
        delay(pause)
        return true
    }

    private companion object {
        const val JITTER_MILLIS = 100
        val RETRY_PAUSE = 50.milliseconds
    }
}

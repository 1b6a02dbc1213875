package org.yuccajunction.entry.serving

import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.RequestId
import kotlin.random.Random
import kotlin.time.Duration.Companion.minutes

/** Hands out the identities of requests whose home is this entry. */
public class RequestIdGenerator(
    private val self: EntryIncarnation,
    private val clock: () -> MonotonicTime,
    private val random: Random,
) {
    private val startedAt = clock()

    /** The number of whole epochs since the process started. */
    public val epoch: Long get() = (clock() - startedAt).inWholeNanoseconds / EPOCH_LENGTH.inWholeNanoseconds

    /** Returns a new identity. */
    public fun next(): RequestId {
        val suffix = random.nextLong().toULong().toString(RADIX) + random.nextLong().toULong().toString(RADIX)
        return RequestId(self, epoch, suffix)
    }

    public companion object {
        private const val RADIX = 36

        /** Length of one identity epoch. */
        public val EPOCH_LENGTH: kotlin.time.Duration = 1.minutes
    }
}

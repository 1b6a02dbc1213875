package org.yuccajunction.entry.serving

import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.RequestId
import kotlin.random.Random
import kotlin.time.Duration.Companion.minutes

/** Generates the identities of requests whose home is this entry, [self]. */
public class RequestIdGenerator(
    private val self: EntryIncarnation,
    private val clock: () -> MonotonicTime,
    private val random: Random,
) {
    private val startedAt = clock()

    /** The number of whole epochs since this object was created. */
    public val epoch: Long get() = (clock() - startedAt).inWholeNanoseconds / EPOCH_LENGTH.inWholeNanoseconds

    /** Returns a new identity in the current epoch. */
    public fun next(): RequestId {
        val suffix = random.nextLong().toULong().toString(RADIX) + random.nextLong().toULong().toString(RADIX)
        return RequestId(self, epoch, suffix)
    }

    public companion object {
        private const val RADIX = 36

        /** Length of one identity epoch; at-most-once records expire by epochs. */
        public val EPOCH_LENGTH: kotlin.time.Duration = 1.minutes
    }
}

package org.yuccajunction.quarantine

import org.yuccajunction.model.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class ServerEndsTest {
    private val ends = ServerEnds()
    private val request = Suspect(Long.MIN_VALUE + 8)
    private var now = MonotonicTime.ZERO + 100.seconds

    /** Guards against old ends that count against a sound request again once many others have been answered. */
    @Test
    fun `an answer is remembered for as long as the ends that it clears`() {
        repeat(4) { number ->
            ends.record("server-$number", mapOf(request to now), now)
            ends.recordProgress(request, now)
            now += 1.seconds
        }
        repeat(5_000) { ends.recordProgress(Suspect(Long.MIN_VALUE + 1_000 + it), now) }
        now += 60.seconds
        ends.removeExpired(now)
        assertEquals(0, ends.suspicion(request).separateEnds)
        assertEquals(null, ends.mostSuspect(emptySet(), now))
    }

    @Test
    fun `a request that was answered shortly before its first end was a bystander there`() {
        ends.recordProgress(request, now)
        now += 2.seconds
        ends.record("server", mapOf(request to now), now)
        assertEquals(0, ends.suspicion(request).separateEnds)
    }
}

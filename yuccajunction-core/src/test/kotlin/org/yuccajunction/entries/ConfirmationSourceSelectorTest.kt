package org.yuccajunction.entries

import org.yuccajunction.model.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class ConfirmationSourceSelectorTest {
    private val many = (1..300).map { "entry-$it" }

    @Test
    fun `few entries all ask the store`() {
        val few = many.take(9)
        assertTrue(few.all { ConfirmationSourceSelector(it).asksStore(few) })
        assertNull(ConfirmationSourceSelector("entry-1").nextPeer(few))
    }

    @Test
    fun `of many entries one in forty asks the store, and the others ask all of those in turn`() {
        val askers = many.filter { ConfirmationSourceSelector(it).asksStore(many) }
        assertEquals(8, askers.size)
        val other = ConfirmationSourceSelector(many.first { it !in askers })
        assertEquals(askers.toSet(), List(8) { other.nextPeer(many) }.toSet())
    }

    @Test
    fun `of 67 entries four ask the store`() {
        val entries = many.take(67)
        assertEquals(4, entries.count { ConfirmationSourceSelector(it).asksStore(entries) })
    }

    @Test
    fun `others ask the store once those that asked are gone`() {
        val askers = many.filter { ConfirmationSourceSelector(it).asksStore(many) }
        val left = many - askers.toSet()
        assertEquals(8, left.count { ConfirmationSourceSelector(it).asksStore(left) })
    }

    @Test
    fun `an answer proves nothing later than its question less the age told`() {
        val question = ConfirmationQuestion(MonotonicTime.ZERO.plus(2_000.milliseconds).nanoseconds)
        val answer = ConfirmationAnswer(question.sentAtNanos, confirmationAgeMillis = 700, newestVersions = emptyMap())
        assertEquals(MonotonicTime.ZERO + 1_300.milliseconds, answer.confirmedAt())
    }
}

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
    fun `in a small fleet every entry asks the store`() {
        val few = many.take(9)
        assertTrue(few.all { ConfirmationSourceSelector(it).asksStore(few) })
        assertNull(ConfirmationSourceSelector("entry-1").nextPeer(few))
    }

    @Test
    fun `of 300 entries one in forty asks the store, and the others ask each of those in rotation`() {
        val askers = many.filter { ConfirmationSourceSelector(it).asksStore(many) }
        assertEquals(8, askers.size)
        val other = ConfirmationSourceSelector(many.first { it !in askers })
        assertEquals(askers.toSet(), List(8) { other.nextPeer(many) }.toSet())
    }

    @Test
    fun `of 67 entries the minimum of four ask the store`() {
        val entries = many.take(67)
        assertEquals(4, entries.count { ConfirmationSourceSelector(it).asksStore(entries) })
    }

    @Test
    fun `other entries ask the store after the former askers have gone`() {
        val askers = many.filter { ConfirmationSourceSelector(it).asksStore(many) }
        val left = many - askers.toSet()
        assertEquals(8, left.count { ConfirmationSourceSelector(it).asksStore(left) })
    }

    @Test
    fun `an answer confirms the time of its question minus the reported age`() {
        val question = ConfirmationQuestion(MonotonicTime.ZERO.plus(2_000.milliseconds).nanoseconds)
        val answer = ConfirmationAnswer(question.sentAtNanos, confirmationAgeMillis = 700, newestVersions = emptyMap())
        assertEquals(MonotonicTime.ZERO + 1_300.milliseconds, answer.confirmedAt())
    }
}

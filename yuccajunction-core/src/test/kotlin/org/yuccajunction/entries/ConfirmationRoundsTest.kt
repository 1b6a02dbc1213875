package org.yuccajunction.entries

import org.yuccajunction.model.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class ConfirmationRoundsTest {
    private val many = (1..300).map { "entry-$it" }

    @Test
    fun `few entries all ask the store`() {
        val few = many.take(9)
        assertTrue(few.all { ConfirmationRounds(it).isAsker(few) })
        assertNull(ConfirmationRounds("entry-1").next(few))
    }

    @Test
    fun `of many entries one in forty asks the store, and the others ask all of those in turn`() {
        val askers = many.filter { ConfirmationRounds(it).isAsker(many) }
        assertEquals(8, askers.size)
        val other = ConfirmationRounds(many.first { it !in askers })
        assertEquals(askers.toSet(), List(8) { other.next(many) }.toSet())
    }

    @Test
    fun `of 67 entries four ask the store`() {
        val entries = many.take(67)
        assertEquals(4, entries.count { ConfirmationRounds(it).isAsker(entries) })
    }

    @Test
    fun `others ask the store once those that asked are gone`() {
        val askers = many.filter { ConfirmationRounds(it).isAsker(many) }
        val left = many - askers.toSet()
        assertEquals(8, left.count { ConfirmationRounds(it).isAsker(left) })
    }

    @Test
    fun `an answer proves nothing later than its question less the age told`() {
        val question = ConfirmationQuestion(MonotonicTime.ZERO.plus(2_000.milliseconds).nanoseconds)
        val answer = ConfirmationAnswer(question.stamp, ageMillis = 700, changes = emptyMap())
        assertEquals(MonotonicTime.ZERO + 1_300.milliseconds, answer.confirmedAt())
    }
}

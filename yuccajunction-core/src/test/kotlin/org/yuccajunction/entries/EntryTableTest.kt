package org.yuccajunction.entries

import org.yuccajunction.model.MonotonicTime
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EntryTableTest {
    private val table = EntryTable("own")
    private var now = MonotonicTime.ZERO

    private fun beat(name: String, run: Long = 1, sequence: Long = 1, isReady: Boolean = true): EntryBeat =
        EntryBeat(name, run, sequence, "$name:80", "$name:7600", "zone", isReady)

    @Test
    fun `an entry that is silent is no longer named`() {
        table.heard(beat("a"), now)
        table.heard(beat("b"), now)
        now += 1.seconds
        table.heard(beat("b", sequence = 2), now)
        now += 1.seconds
        assertEquals(listOf("b:80"), table.callerAddresses(now))
    }

    @Test
    fun `an entry that hears nobody any more names those it heard last for a while`() {
        table.heard(beat("a"), now)
        now += 3.seconds
        assertEquals(listOf("a:80"), table.callerAddresses(now))
        now += 2.seconds
        assertEquals(emptyList(), table.callerAddresses(now))
    }

    @Test
    fun `an entry that is not ready is not named`() {
        table.heard(beat("a", isReady = false), now)
        assertEquals(emptyList(), table.callerAddresses(now))
    }

    @Test
    fun `late and doubled beats are ignored, also those of a former run`() {
        assertTrue(table.heard(beat("a", run = 2, sequence = 5), now))
        assertFalse(table.heard(beat("a", run = 2, sequence = 5), now))
        assertFalse(table.heard(beat("a", run = 1, sequence = 9), now))
        assertTrue(table.heard(beat("a", run = 3, sequence = 1), now))
    }

    @Test
    fun `beats do not go to all of many entries`() {
        (1..300).forEach { table.registered("entry-$it", "10.0.0.$it:7600", now) }
        assertEquals(16, table.targets(now, Random(1)).size)
        assertTrue(table.interval() > 400.milliseconds)
    }
}

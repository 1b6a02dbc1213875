package org.yuccajunction.duty

import kotlinx.coroutines.runBlocking
import org.yuccajunction.model.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class DutyLeaseTest {
    private val store = MemoryStore()
    private var now = MonotonicTime.ZERO
    private val first = DutyLease(store, "first", 1) { now }
    private val second = DutyLease(store, "second", 1) { now }

    @Test
    fun `a new holder lets the takeover delay pass before it acts`() =
        runBlocking {
            assertTrue(first.takeOver())
            assertNull(first.claim())
            now += 3.seconds
            assertEquals(1, first.claim()?.number?.value)
        }

    @Test
    fun `a holder that was paused can't act after another took over`() =
        runBlocking {
            first.takeOver()
            now += 3.seconds
            val grant = assertNotNull(first.claim())
            assertTrue(second.takeOver())
            assertNull(first.claim())
            assertFalse(first.wasHeld)
            now += 3.seconds
            assertFalse(grant.isValid(now))
            assertEquals(2, second.claim()?.number?.value)
        }

    @Test
    fun `a total that was recorded is never replaced`() =
        runBlocking {
            first.takeOver()
            now += 3.seconds
            first.claim(totals = mapOf(7L to mapOf("w" to 3)))
            second.takeOver()
            now += 3.seconds
            val grant = second.claim(totals = mapOf(7L to mapOf("w" to 4)))
            assertEquals(mapOf("w" to 3), grant?.record?.totals?.get(7L))
        }

    @Test
    fun `a lost answer is settled by reading back`() =
        runBlocking {
            first.takeOver()
            now += 3.seconds
            store.losesAnswers = true
            assertNull(first.claim())
            assertTrue(first.wasHeld)
            store.losesAnswers = false
            assertEquals(1, first.claim()?.number?.value)
        }

    @Test
    fun `a holder keeps the duties while the store is away`() =
        runBlocking {
            first.takeOver()
            now += 3.seconds
            store.isAway = true
            assertNull(first.claim())
            store.isAway = false
            assertNotNull(first.claim())
            Unit
        }

    @Test
    fun `a restarted process is another holder`() =
        runBlocking {
            first.takeOver()
            val restarted = DutyLease(store, "first", 2) { now }
            assertTrue(restarted.takeOver())
            assertEquals(2, restarted.number)
        }
}

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
            assertNull(first.renew())
            now += 3.seconds
            assertEquals(1, first.renew()?.fencingNumber?.value)
        }

    @Test
    fun `a holder that was paused can't act after another took over`() =
        runBlocking {
            first.takeOver()
            now += 3.seconds
            val grant = assertNotNull(first.renew())
            assertTrue(second.takeOver())
            assertNull(first.renew())
            assertFalse(first.isPresumedHolder)
            now += 3.seconds
            assertFalse(grant.isValid(now))
            assertEquals(2, second.renew()?.fencingNumber?.value)
        }

    @Test
    fun `a total that was recorded is never replaced`() =
        runBlocking {
            first.takeOver()
            now += 3.seconds
            first.renew(totals = mapOf(7L to mapOf("w" to 3)))
            second.takeOver()
            now += 3.seconds
            val grant = second.renew(totals = mapOf(7L to mapOf("w" to 4)))
            assertEquals(mapOf("w" to 3), grant?.record?.totals?.get(7L))
        }

    @Test
    fun `a lost answer is settled by reading back`() =
        runBlocking {
            first.takeOver()
            now += 3.seconds
            store.losesAnswers = true
            assertNull(first.renew())
            assertTrue(first.isPresumedHolder)
            store.losesAnswers = false
            assertEquals(1, first.renew()?.fencingNumber?.value)
        }

    @Test
    fun `a holder keeps the duties while the store is away`() =
        runBlocking {
            first.takeOver()
            now += 3.seconds
            store.isUnavailable = true
            assertNull(first.renew())
            store.isUnavailable = false
            assertNotNull(first.renew())
            Unit
        }

    @Test
    fun `a restarted process is another holder`() =
        runBlocking {
            first.takeOver()
            val restarted = DutyLease(store, "first", 2) { now }
            assertTrue(restarted.takeOver())
            assertEquals(2, restarted.fencingNumber)
        }
}

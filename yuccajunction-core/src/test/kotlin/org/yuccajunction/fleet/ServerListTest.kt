package org.yuccajunction.fleet

import org.yuccajunction.forward.ForwardFixture.Companion.server
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class ServerListTest {
    private val list = ServerList()
    private var now = MonotonicTime.ZERO

    private fun ids(): List<String> = list.servers.keys.map { it.value }.sorted()

    @Test
    fun `a server whose registration is removed is unlisted at once`() {
        list.replace(listOf(server("a"), server("b")), now)
        list.registrationRemoved(BackendServerId("a"), now)
        assertEquals(listOf("b"), ids())
    }

    @Test
    fun `a server whose registration expired in a store outage is listed until the time to reregister is over`() {
        list.replace(listOf(server("a"), server("b")), now)
        list.storeLost()
        now += 9.seconds
        list.storeReturned(now)
        list.replace(listOf(server("b")), now)
        assertEquals(listOf("a", "b"), ids())
        now += 1.seconds
        assertFalse(list.removeExpired(now))
        now += 2.seconds
        assertTrue(list.removeExpired(now))
        assertEquals(listOf("b"), ids())
    }

    @Test
    fun `a server that registers again after the return of the store stays listed`() {
        list.replace(listOf(server("a")), now)
        list.storeLost()
        list.storeReturned(now)
        list.replace(emptyList(), now)
        list.put(server("a"))
        now += 5.seconds
        list.removeExpired(now)
        assertEquals(listOf("a"), ids())
    }

    /** Guards against a running server that is taken for a new one, so that its limit and its load are forgotten. */
    @Test
    fun `a registration without the time of the start leaves the incarnation as it was`() {
        list.replace(listOf(server("a").copy(startedAtMillis = 5)), now)
        list.put(server("a"))
        assertEquals(5, list.servers.getValue(BackendServerId("a")).startedAtMillis)
        list.put(server("a").copy(startedAtMillis = 6))
        assertEquals(6, list.servers.getValue(BackendServerId("a")).startedAtMillis)
    }

    /** Guards against requests to servers that the copy of a restored store still lists as ready. */
    @Test
    fun `a restored list brings back neither a server that has left nor one that is draining`() {
        val draining = server("draining").copy(startedAtMillis = 5)
        list.replace(listOf(server("left"), draining), now)
        list.registrationRemoved(BackendServerId("left"), now)
        list.put(draining.copy(isDraining = true))
        list.storeRestored(now)
        list.replace(listOf(server("left"), draining), now)
        assertEquals(listOf("draining"), ids())
        assertTrue(list.servers.getValue(BackendServerId("draining")).isDraining)
        list.put(server("left"))
        list.put(draining.copy(startedAtMillis = 6))
        assertEquals(listOf("draining", "left"), ids())
        assertFalse(list.servers.getValue(BackendServerId("draining")).isDraining)
    }

    /** Guards against sound servers that a restored store does not list until they register again. */
    @Test
    fun `a server that the restored list lacks stays listed for the time to reregister`() {
        list.replace(listOf(server("a"), server("b")), now)
        list.storeRestored(now)
        list.replace(listOf(server("b")), now)
        assertEquals(listOf("a", "b"), ids())
        now += 3.seconds
        list.removeExpired(now)
        assertEquals(listOf("b"), ids())
    }

    @Test
    fun `a draining server whose registration expired is unlisted`() {
        list.replace(listOf(server("a").copy(isDraining = true)), now)
        list.storeLost()
        list.storeReturned(now)
        list.replace(emptyList(), now)
        assertEquals(emptyList(), ids())
    }
}

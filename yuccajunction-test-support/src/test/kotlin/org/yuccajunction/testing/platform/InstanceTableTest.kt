package org.yuccajunction.testing.platform

import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.InstanceRole
import org.yuccajunction.model.PlatformInstance
import kotlin.test.Test
import kotlin.test.assertEquals

class InstanceTableTest {
    private var nanos = 0L
    private val table = InstanceTable { nanos }

    @Test
    fun `a change is listed once the lag has passed`() {
        add("entry-1", atMillis = 1_000)
        assertEquals(emptyList(), shown(atMillis = 1_500, lagMillis = 600))
        assertEquals(listOf("entry-1"), shown(atMillis = 1_600, lagMillis = 600))
    }

    @Test
    fun `a lag set later never lists an older state than was listed before`() {
        add("entry-1", atMillis = 1_000)
        assertEquals(listOf("entry-1"), shown(atMillis = 1_100, lagMillis = 0))
        add("entry-2", atMillis = 1_200)
        assertEquals(listOf("entry-1"), shown(atMillis = 1_300, lagMillis = 30_000))
        assertEquals(listOf("entry-1", "entry-2"), shown(atMillis = 31_200, lagMillis = 30_000))
    }

    private fun add(id: String, atMillis: Long) {
        nanos = atMillis * 1_000_000
        val zone = AvailabilityZone("cairo-a")
        val instance = PlatformInstance(InstanceId(id), InstanceRole.ENTRY, zone, Endpoint("127.0.0.1", 1))
        table.update { it + (instance.id to instance) }
    }

    private fun shown(atMillis: Long, lagMillis: Long): List<String> {
        nanos = atMillis * 1_000_000
        return table.read(lagMillis).instances.map { it.id.value }
    }
}

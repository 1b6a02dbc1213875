package org.yuccajunction.testing.platform

import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ObjectTableTest {
    private val table = ObjectTable()

    @Test
    fun `a write or removal succeeds only at the expected version`() {
        assertEquals(1, table.compareAndSet("a", null, "one"))
        assertNull(table.compareAndSet("a", null, "two"))
        assertNull(table.compareAndSet("a", 7, "two"))
        assertEquals(2, table.compareAndSet("a", 1, "two"))
        assertEquals("two", table.read("a")?.value)
        assertEquals(3, table.compareAndSet("a", 2, null))
        assertNull(table.read("a"))
    }

    @Test
    fun `a watch returns the latest change of each object under the prefix`() {
        table.compareAndSet("a/1", null, "one")
        table.compareAndSet("a/1", 1, "two")
        table.compareAndSet("b/1", null, "three")
        assertEquals(ObjectRows(3, listOf(ObjectRow("a/1", 2, "two"))), table.changesAfter("a/", 0))
    }

    @Test
    fun `a watch returns a later change, or no objects at its timeout`() = runBlocking {
        val watch = async { table.watch("a", 0, 5.seconds) }
        table.compareAndSet("a", null, "one")
        assertEquals(listOf(ObjectRow("a", 1, "one")), watch.await()?.objects)
        assertEquals(emptyList(), table.watch("a", 1, 10.milliseconds)?.objects)
    }

    @Test
    fun `changes from before the compaction are not available`() {
        table.compareAndSet("a", null, "one")
        table.compact()
        assertNull(table.changesAfter("a", 0))
        assertEquals(ObjectRows(1, emptyList()), table.changesAfter("a", 1))
    }

    @Test
    fun `a restored store continues from the versions of the older state`() {
        table.compareAndSet("a", null, "one")
        val state = table.list("")
        table.compareAndSet("a", 1, "two")
        table.restore(state)
        assertEquals(ObjectRow("a", 1, "one"), table.read("a"))
        assertEquals(2, table.compareAndSet("b", null, "three"))
        assertEquals(listOf("b"), table.changesAfter("", 1)?.objects?.map { it.key })
    }
}

package org.yuccajunction.adapters.platform

import kotlinx.coroutines.runBlocking
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.port.ExpectedVersion
import org.yuccajunction.port.ObjectListing
import org.yuccajunction.port.ObjectReading
import org.yuccajunction.port.ObjectStore
import org.yuccajunction.port.ObjectVersion
import org.yuccajunction.port.ObjectWriting
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RateLimitedObjectStoreTest {
    private var now = MonotonicTime.ZERO
    private var isDown = false
    private val calls = mutableListOf<StoreCallKind>()
    private val budget = StoreBudget(callsPerSecond = 10.0, burst = 5.0)
    private val store = RateLimitedObjectStore(StubStore(), budget, { now }, Random(1)) { calls += it }

    @Test
    fun `each call is reported by its kind, and a watch once`() = runBlocking {
        store.read("a")
        store.write("a", "text", ExpectedVersion.Absent)
        store.watch("a", ObjectVersion(1), 20.seconds)
        assertEquals(listOf(StoreCallKind.READ, StoreCallKind.WRITE, StoreCallKind.WATCH), calls)
    }

    @Test
    fun `calls above the rate limit are refused without reaching the store`() = runBlocking {
        repeat(5) { assertEquals(ObjectReading.Absent, store.read("a")) }
        assertIs<ObjectReading.Unavailable>(store.read("a"))
        assertIs<ObjectWriting.Refused>(store.write("a", "text", ExpectedVersion.Absent))
        assertEquals(5, calls.size)
        now += 200.milliseconds
        repeat(3) { store.read("a") }
        assertEquals(7, calls.size)
    }

    @Test
    fun `calls are refused after consecutive failures, with a growing backoff`() = runBlocking {
        isDown = true
        repeat(4) { store.read("a") }
        assertEquals(3, calls.size)
        now += 100.milliseconds
        repeat(2) { store.read("a") }
        assertEquals(4, calls.size)
        now += 90.milliseconds
        store.read("a")
        assertEquals(4, calls.size)
        now += 110.milliseconds
        isDown = false
        repeat(3) { store.read("a") }
        assertEquals(7, calls.size)
    }

    private inner class StubStore : ObjectStore {
        override suspend fun read(key: String): ObjectReading =
            if (isDown) ObjectReading.Unavailable("down") else ObjectReading.Absent

        override suspend fun write(key: String, value: String, expected: ExpectedVersion): ObjectWriting =
            ObjectWriting.Written(ObjectVersion(1))

        override suspend fun remove(key: String, expected: ExpectedVersion): ObjectWriting = ObjectWriting.Conflict

        override suspend fun list(prefix: String): ObjectListing = ObjectListing.Compacted

        override suspend fun watch(prefix: String, after: ObjectVersion, atMost: Duration): ObjectListing =
            ObjectListing.Compacted
    }
}

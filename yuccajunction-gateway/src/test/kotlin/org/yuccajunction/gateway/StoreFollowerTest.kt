package org.yuccajunction.gateway

import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.yuccajunction.port.ExpectedVersion
import org.yuccajunction.port.ObjectListing
import org.yuccajunction.port.ObjectReading
import org.yuccajunction.port.ObjectStore
import org.yuccajunction.port.ObjectVersion
import org.yuccajunction.port.ObjectWriting
import org.yuccajunction.port.StoreEra
import org.yuccajunction.port.StoredObject
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StoreFollowerTest {
    /** Answers the calls with [answers] in turn; the call after the last answer never returns. */
    private class ScriptedStore(vararg answers: ObjectListing) : ObjectStore {
        private val answers = ArrayDeque(answers.toList())
        val calls = ArrayList<String>()
        val waits = ArrayList<Duration>()

        /** Eras that another call has seen by the end of a call, by its number. */
        val eraAfterCall = HashMap<Int, StoreEra>()

        override suspend fun list(prefix: String): ObjectListing = next("list")

        override suspend fun watch(prefix: String, after: ObjectVersion, atMost: Duration): ObjectListing =
            next("watch $after").also { waits += atMost }

        override var era: StoreEra? = null
            private set

        private suspend fun next(call: String): ObjectListing {
            calls += call
            val answer = answers.removeFirstOrNull() ?: awaitCancellation()
            (answer as? ObjectListing.Listed)?.let { era = it.era }
            eraAfterCall[calls.size]?.let { era = it }
            return answer
        }

        override suspend fun read(key: String): ObjectReading = ObjectReading.Absent

        override suspend fun write(key: String, value: String, expected: ExpectedVersion): ObjectWriting =
            ObjectWriting.Conflict

        override suspend fun remove(key: String, expected: ExpectedVersion): ObjectWriting = ObjectWriting.Conflict
    }

    private val log = DecisionLog("test")
    private val health = StoreHealth(log)

    private fun listed(version: Long, vararg names: String, era: Long? = null): ObjectListing =
        ObjectListing.Listed(
            ObjectVersion(version),
            persistentListOf<StoredObject>().addAll(
                names.map {
                    StoredObject("kind/$it", ObjectVersion(version), "{}")
                },
            ),
            era?.let(::StoreEra),
        )

    private fun follow(store: ScriptedStore, isHealthProbe: Boolean, calls: Int): List<String> {
        val seen = ArrayList<String>()
        val follower =
            StoreFollower(
                store = store,
                health = health,
                log = log,
                clock = SuspensionAwareClock(),
                kind = "kind",
                watchTimeout = { 1.seconds },
                isHealthProbe = isHealthProbe,
                onRestored = { seen += "restored" },
                onListed = { objects -> seen += "listed ${objects.map { it.key }}" },
                onChanged = { objects -> seen += "changed ${objects.map { it.key }}" },
            )
        runBlocking {
            val running = launch { follower.follow() }
            while (store.calls.size < calls) delay(POLL_MILLIS)
            running.cancelAndJoin()
        }
        return seen
    }

    @Test
    fun `a failed watch continues from the last known version without a new list`() {
        val store = ScriptedStore(listed(5, "a"), ObjectListing.Unavailable("cut"), listed(7, "b"))
        val seen = follow(store, isHealthProbe = false, calls = 4)
        assertEquals(listOf("list", "watch 5", "watch 5", "watch 7"), store.calls)
        assertEquals(listOf("listed [kind/a]", "changed [kind/b]"), seen)
    }

    @Test
    fun `lost history leads to a new list`() {
        val store = ScriptedStore(listed(5, "a"), ObjectListing.Compacted, listed(9, "b"))
        val seen = follow(store, isHealthProbe = false, calls = 4)
        assertEquals(listOf("list", "watch 5", "list", "watch 9"), store.calls)
        assertEquals(listOf("listed [kind/a]", "listed [kind/b]"), seen)
    }

    @Test
    fun `only the health probe asks while the store is unavailable`() {
        val probe = ScriptedStore(ObjectListing.Unavailable("away"), ObjectListing.Unavailable("away"))
        follow(probe, isHealthProbe = true, calls = 3)
        assertFalse(health.isAvailable.value)
        val other = ScriptedStore(listed(1))
        follow(other, isHealthProbe = false, calls = 0)
        assertEquals(emptyList(), other.calls)
    }

    @Test
    fun `the health probe asks an unavailable store with a short timeout, not the usual one`() {
        val store = ScriptedStore(listed(5), ObjectListing.Unavailable("away"), listed(5), listed(5))
        follow(store, isHealthProbe = true, calls = 5)
        assertEquals(listOf(1.seconds, 20.milliseconds, 1.seconds), store.waits)
    }

    @Test
    fun `a list older than the known state is requested again`() {
        val store = ScriptedStore(listed(9, "a"), ObjectListing.Compacted, listed(6, "gone"), listed(9, "a"))
        val seen = follow(store, isHealthProbe = false, calls = 5)
        assertEquals(listOf("list", "watch 9", "list", "list", "watch 9"), store.calls)
        assertEquals(listOf("listed [kind/a]", "listed [kind/a]"), seen)
    }

    /** Guards against a restored store whose objects, of lower versions, are taken for an outdated replica's. */
    @Test
    fun `a list of a new era is accepted at once though its version is lower`() {
        val store = ScriptedStore(listed(9, "a", era = 1), ObjectListing.Compacted, listed(6, "b", era = 2))
        val seen = follow(store, isHealthProbe = false, calls = 4)
        assertEquals(listOf("list", "watch 9", "list", "watch 6"), store.calls)
        assertEquals(listOf("listed [kind/a]", "restored", "listed [kind/b]"), seen)
    }

    /** Guards against a watch from a version that was given out again, which would skip what the restore undid. */
    @Test
    fun `a version of a former era is not watched from`() {
        val store =
            ScriptedStore(listed(9, "a", era = 1), ObjectListing.Unavailable("cut"), listed(12, "b", era = 2))
        store.eraAfterCall[2] = StoreEra(2)
        val seen = follow(store, isHealthProbe = false, calls = 4)
        assertEquals(listOf("list", "watch 9", "list", "watch 12"), store.calls)
        assertEquals(listOf("listed [kind/a]", "restored", "listed [kind/b]"), seen)
    }

    private companion object {
        const val POLL_MILLIS = 5L
    }
}

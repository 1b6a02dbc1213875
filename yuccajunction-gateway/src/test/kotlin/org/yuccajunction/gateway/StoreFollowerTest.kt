package org.yuccajunction.gateway

import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.yuccajunction.entries.RelayedChanges
import org.yuccajunction.entries.RelayedObject
import org.yuccajunction.port.ExpectedVersion
import org.yuccajunction.port.ObjectListing
import org.yuccajunction.port.ObjectReading
import org.yuccajunction.port.ObjectStore
import org.yuccajunction.port.ObjectVersion
import org.yuccajunction.port.ObjectWriting
import org.yuccajunction.port.StoredObject
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StoreFollowerTest {
    /** Answers the calls with [answers] in turn; the call after the last answer never returns. */
    private class ScriptedStore(vararg answers: ObjectListing) : ObjectStore {
        private val answers = ArrayDeque(answers.toList())
        val calls = ArrayList<String>()
        val waits = ArrayList<Duration>()

        var onCall: (number: Int) -> Unit = {}

        override suspend fun list(prefix: String): ObjectListing = next("list")

        override suspend fun listPossiblyOld(prefix: String): ObjectListing = next("old list")

        override suspend fun watch(prefix: String, after: ObjectVersion, atMost: Duration): ObjectListing =
            next("watch $after").also { waits += atMost }

        private suspend fun next(call: String): ObjectListing {
            calls += call
            onCall(calls.size)
            return answers.removeFirstOrNull() ?: awaitCancellation()
        }

        override suspend fun read(key: String): ObjectReading = ObjectReading.Absent

        override suspend fun write(key: String, value: String, expected: ExpectedVersion): ObjectWriting =
            ObjectWriting.Conflict

        override suspend fun remove(key: String, expected: ExpectedVersion): ObjectWriting = ObjectWriting.Conflict
    }

    private val log = DecisionLog("test")
    private val era = StoreEra().apply { observe(1) }
    private val health = StoreHealth(log, era)

    private fun listed(version: Long, vararg names: String): ObjectListing =
        ObjectListing.Listed(
            ObjectVersion(version),
            persistentListOf<StoredObject>().addAll(
                names.map {
                    StoredObject("kind/$it", ObjectVersion(version), "{}")
                },
            ),
        )

    private val learnsFromPeers = MutableStateFlow(false)

    private fun follow(
        store: ScriptedStore,
        isHealthProbe: Boolean,
        calls: Int,
        mayStartOld: Boolean = false,
        whileRunning: suspend (StoreFollower) -> Unit = {},
    ): List<String> {
        val seen = ArrayList<String>()
        val follower =
            StoreFollower(
                store = store,
                health = health,
                log = log,
                clock = SuspensionAwareClock(),
                kind = "kind",
                watchTimeout = { 1.seconds },
                learnsFromPeers = learnsFromPeers,
                isHealthProbe = isHealthProbe,
                mayStartOld = mayStartOld,
                onListed = { objects -> seen += "listed ${objects.map { it.key }}" },
                onChanged = { objects -> seen += "changed ${objects.map { it.key }}" },
            )
        runBlocking {
            val running = launch { follower.follow() }
            whileRunning(follower)
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

    @Test
    fun `a first list that may be old is not used before the changes since have been read`() {
        val changes =
            ObjectListing.Listed(
                ObjectVersion(9),
                persistentListOf(
                    StoredObject("kind/b", ObjectVersion(8), "{}"),
                    StoredObject("kind/a", ObjectVersion(9), null),
                ),
            )
        val store = ScriptedStore(listed(5, "a"), changes)
        val seen = follow(store, isHealthProbe = false, calls = 3, mayStartOld = true)
        assertEquals(listOf("old list", "watch 5", "watch 9"), store.calls)
        assertEquals(listOf("listed [kind/b]"), seen)
    }

    @Test
    fun `a first list that is too old for a watch is replaced by one that is up to date`() {
        val store = ScriptedStore(listed(5, "a"), ObjectListing.Compacted, listed(9, "b"))
        val seen = follow(store, isHealthProbe = false, calls = 4, mayStartOld = true)
        assertEquals(listOf("old list", "watch 5", "list", "watch 9"), store.calls)
        assertEquals(listOf("listed [kind/b]"), seen)
    }

    @Test
    fun `after the era has risen, an up-to-date list of lower versions is accepted at once`() {
        val store = ScriptedStore(listed(50, "a"), listed(51, "stale"), listed(20, "b"))
        store.onCall = { if (it == 2) era.observe(2) }
        val seen = follow(store, isHealthProbe = false, calls = 4)
        assertEquals(listOf("list", "watch 50", "list", "watch 20"), store.calls)
        assertEquals(listOf("listed [kind/a]", "listed [kind/b]"), seen)
    }

    @Test
    fun `a risen era of which another call has learned ends a watch that would wait on`() {
        val store = ScriptedStore(listed(50, "a"))
        follow(store, isHealthProbe = false, calls = 3) {
            while (store.calls.size < 2) delay(POLL_MILLIS)
            era.observe(2)
        }
        assertEquals(listOf("list", "watch 50", "list"), store.calls)
    }

    @Test
    fun `a follower that peers tell of changes makes no call for them, and one for a change that they don't tell`() {
        learnsFromPeers.value = true
        val store = ScriptedStore(listed(5, "a"), listed(9, "c"))
        val seen =
            follow(store, isHealthProbe = false, calls = 2) { follower ->
                while (!follower.isWaitingForPeers) delay(POLL_MILLIS)
                follower.acceptFromPeer(relayed(after = 4, until = 7, "b"))
                follower.acceptFromPeer(relayed(after = 8, until = 9, "gap"))
                assertEquals(listOf("list"), store.calls)
                assertEquals(7, follower.version?.value)
                follower.refresh()
            }
        assertEquals(listOf("list", "watch 7"), store.calls.take(2))
        assertEquals(listOf("listed [kind/a]", "changed [kind/b]"), seen.take(2))
    }

    @Test
    fun `changes of a watch are told to a peer that knows those before, and not to one that knows less`() {
        val store = ScriptedStore(listed(5, "a"), listed(7, "b"), listed(9, "c"))
        follow(store, isHealthProbe = false, calls = 4) { follower ->
            while (store.calls.size < 4) delay(POLL_MILLIS)
            assertEquals(listOf("kind/b", "kind/c"), follower.changesAfter(ObjectVersion(5))?.objects?.map { it.key })
            assertEquals(listOf("kind/c"), follower.changesAfter(ObjectVersion(7))?.objects?.map { it.key })
            assertNull(follower.changesAfter(ObjectVersion(9)))
            assertNull(follower.changesAfter(ObjectVersion(4)))
        }
    }

    private fun relayed(after: Long, until: Long, name: String) =
        RelayedChanges("kind", after, until, listOf(RelayedObject("kind/$name", until, "{}")))

    private companion object {
        const val POLL_MILLIS = 5L
    }
}

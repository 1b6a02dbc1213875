package org.yuccajunction.configuration

import kotlinx.collections.immutable.toPersistentList
import org.yuccajunction.port.ExpectedVersion
import org.yuccajunction.port.ObjectListing
import org.yuccajunction.port.ObjectReading
import org.yuccajunction.port.ObjectStore
import org.yuccajunction.port.ObjectVersion
import org.yuccajunction.port.ObjectWriting
import org.yuccajunction.port.StoredObject
import kotlin.coroutines.Continuation
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.coroutines.resume
import kotlin.coroutines.startCoroutine
import kotlin.coroutines.suspendCoroutine
import kotlin.random.Random
import kotlin.time.Duration

/** An in-memory object store whose calls interleave, get lost and take effect late, determined by the seed. */
internal class RacingObjectStore(private val random: Random, private val faultShare: Double) : ObjectStore {
    private val waiting = mutableListOf<Continuation<Unit>>()
    private val delayed = mutableListOf<() -> Unit>()
    private var counter = 0L

    /** The current objects by key. */
    val objects: MutableMap<String, StoredObject> = mutableMapOf()

    /** Every value written to each key, in order. */
    val ledger: MutableMap<String, MutableList<String>> = mutableMapOf()

    /** Starts [block] and executes it up to its first call to this store. */
    fun launch(block: suspend () -> Unit) {
        block.startCoroutine(Continuation(EmptyCoroutineContext) { it.getOrThrow() })
    }

    /** Resumes the started blocks in random order until all have ended, then applies every late write. */
    fun runAll() {
        while (waiting.isNotEmpty()) {
            waiting.removeAt(random.nextInt(waiting.size)).resume(Unit)
            if (delayed.isNotEmpty() && random.nextInt(4) == 0) delayed.removeFirst()()
        }
        delayed.forEach { it() }
    }

    override suspend fun read(key: String): ObjectReading {
        awaitTurn()
        if (fails()) return ObjectReading.Unavailable("down")
        return objects[key]?.let { ObjectReading.Found(it) } ?: ObjectReading.Absent
    }

    override suspend fun write(key: String, value: String, expected: ExpectedVersion): ObjectWriting {
        awaitTurn()
        if (!fails()) return perform(key, value, expected)
        when (random.nextInt(4)) {
            0 -> return ObjectWriting.Refused("slow down")
            1 -> perform(key, value, expected)
            2 -> delayed += { perform(key, value, expected) }
        }
        return ObjectWriting.Unknown("answer lost")
    }

    override suspend fun remove(key: String, expected: ExpectedVersion): ObjectWriting {
        awaitTurn()
        if (fails()) return ObjectWriting.Unknown("answer lost")
        objects.remove(key)
        return ObjectWriting.Written(ObjectVersion(++counter))
    }

    override suspend fun list(prefix: String): ObjectListing =
        ObjectListing.Listed(
            ObjectVersion(counter),
            objects.values.filter { it.key.startsWith(prefix) }.toPersistentList(),
        )

    override suspend fun watch(prefix: String, after: ObjectVersion, atMost: Duration): ObjectListing =
        ObjectListing.Unavailable("not watched in tests")

    private fun perform(key: String, value: String, expected: ExpectedVersion): ObjectWriting {
        val version = objects[key]?.version
        val holds = when (expected) {
            is ExpectedVersion.Absent -> version == null
            is ExpectedVersion.Is -> version == expected.version
        }
        if (!holds) return ObjectWriting.Conflict
        val written = ObjectVersion(++counter)
        objects[key] = StoredObject(key, written, value)
        ledger.getOrPut(key) { mutableListOf() } += value
        return ObjectWriting.Written(written)
    }

    private suspend fun awaitTurn() = suspendCoroutine { waiting += it }

    private fun fails() = random.nextDouble() < faultShare
}

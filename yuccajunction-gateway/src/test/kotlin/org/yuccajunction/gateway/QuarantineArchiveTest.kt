package org.yuccajunction.gateway

import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.runBlocking
import org.yuccajunction.port.ExpectedVersion
import org.yuccajunction.port.ObjectListing
import org.yuccajunction.port.ObjectReading
import org.yuccajunction.port.ObjectStore
import org.yuccajunction.port.ObjectVersion
import org.yuccajunction.port.ObjectWriting
import org.yuccajunction.port.StoredObject
import org.yuccajunction.quarantine.QuarantineChange
import org.yuccajunction.quarantine.Suspect
import org.yuccajunction.quarantine.SuspectReport
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class QuarantineArchiveTest {
    /** Keeps objects in memory; the first [unavailableCalls] calls get no answer. */
    private class MemoryStore(private var unavailableCalls: Int = 0) : ObjectStore {
        val objects = LinkedHashMap<String, StoredObject>()
        private var version = 0L

        private fun isAvailable() = unavailableCalls-- <= 0

        override suspend fun read(key: String): ObjectReading =
            when {
                !isAvailable() -> ObjectReading.Unavailable("down")
                else -> objects[key]?.let { ObjectReading.Found(it) } ?: ObjectReading.Absent
            }

        override suspend fun write(key: String, value: String, expected: ExpectedVersion): ObjectWriting {
            if (!meets(key, expected)) return ObjectWriting.Conflict
            version += 1
            objects[key] = StoredObject(key, ObjectVersion(version), value)
            return ObjectWriting.Written(ObjectVersion(version))
        }

        override suspend fun remove(key: String, expected: ExpectedVersion): ObjectWriting {
            if (!meets(key, expected)) return ObjectWriting.Conflict
            objects.remove(key)
            return ObjectWriting.Written(ObjectVersion(version))
        }

        private fun meets(key: String, expected: ExpectedVersion): Boolean =
            when (expected) {
                is ExpectedVersion.Absent -> key !in objects
                is ExpectedVersion.Is -> objects[key]?.version == expected.version
            }

        override suspend fun list(prefix: String): ObjectListing =
            when {
                !isAvailable() -> ObjectListing.Unavailable("down")
                else -> ObjectListing.Listed(ObjectVersion(version), objects.values.toPersistentList())
            }

        override suspend fun watch(prefix: String, after: ObjectVersion, atMost: Duration): ObjectListing =
            ObjectListing.Unavailable("not used")
    }

    private var wallMillis = 1_000_000L

    private fun archive(store: ObjectStore) =
        QuarantineArchive(store, DecisionLog("test"), { wallMillis }, retryDelay = 1.milliseconds)

    private fun report(ageMillis: Long, trials: Int = 0, suspect: Long = 7) =
        SuspectReport(Suspect(suspect), ageMillis, trials)

    private suspend fun QuarantineArchive.save(report: SuspectReport) = store(QuarantineChange(report.suspect, report))

    /** Guards against requests that end servers again after all entries have ended at once. */
    @Test
    fun `an entry that starts gets the suspects that others quarantined before, with their age`() =
        runBlocking {
            val store = MemoryStore(unavailableCalls = 1)
            archive(store).save(report(ageMillis = 500))
            archive(store).save(report(ageMillis = 0, trials = 1, suspect = -8))
            wallMillis += 2_000
            assertEquals(listOf(report(2_500), report(2_000, trials = 1, suspect = -8)), archive(store).load())
        }

    @Test
    fun `a later report of a suspect replaces the earlier one, and a released suspect is removed`() =
        runBlocking {
            val store = MemoryStore()
            archive(store).save(report(ageMillis = 500))
            archive(store).save(report(ageMillis = 0, trials = 1))
            assertEquals(listOf(report(0, trials = 1)), archive(store).load())
            archive(store).store(QuarantineChange(Suspect(7), report = null))
            archive(store).store(QuarantineChange(Suspect(7), report = null))
            assertEquals(emptyList(), archive(store).load())
        }

    @Test
    fun `an object that can't be read names no suspect`() =
        runBlocking {
            val store = MemoryStore()
            store.write("prompt-quarantines/x", "{\"part\":\"many\"}", ExpectedVersion.Absent)
            assertEquals(emptyList(), archive(store).load())
        }
}

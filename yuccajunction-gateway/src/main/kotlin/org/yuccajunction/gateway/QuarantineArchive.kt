package org.yuccajunction.gateway

import arrow.core.Either
import arrow.core.right
import kotlinx.coroutines.delay
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.yuccajunction.control.LogEvent
import org.yuccajunction.port.ExpectedVersion
import org.yuccajunction.port.ObjectListing
import org.yuccajunction.port.ObjectReading
import org.yuccajunction.port.ObjectStore
import org.yuccajunction.port.ObjectWriting
import org.yuccajunction.port.StoredObject
import org.yuccajunction.quarantine.QuarantineChange
import org.yuccajunction.quarantine.Suspect
import org.yuccajunction.quarantine.SuspectReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps the quarantined suspects in the platform's store, so that they outlast the end of all entries.
 *
 * Each suspect is one object. Confined to the control thread.
 *
 * @param wallMillis returns the Unix time in milliseconds
 * @param retryDelay time until a call is repeated that the store did not answer
 */
internal class QuarantineArchive(
    private val store: ObjectStore,
    private val log: DecisionLog,
    private val wallMillis: () -> Long = System::currentTimeMillis,
    private val retryDelay: Duration = 1.seconds,
) {
    private val decoder = StoredObjectDecoder(log)

    /** Returns the suspects that were quarantined before this entry started; waits until the store answers. */
    suspend fun load(): List<SuspectReport> {
        while (true) {
            val listing = store.list(KIND)
            if (listing is ObjectListing.Listed) {
                return listing.objects.mapNotNull {
                    decoder.decodeOrWrite(it, ::decode)
                }
            }
            waitAfterFailure("list", listing)
        }
    }

    /** Stores [change] in place of what was stored of its suspect before. */
    suspend fun store(change: QuarantineChange) {
        val report = change.report
        if (report == null) remove(change.suspect) else save(report)
    }

    private suspend fun save(report: SuspectReport) {
        val stored = StoredSuspect(report.suspect.value, wallMillis() - report.ageMillis, report.trials)
        val value = Json.encodeToString(StoredSuspect.serializer(), stored)
        writeUntilDone("write", keyOf(report.suspect)) { key, expected -> store.write(key, value, expected) }
    }

    private suspend fun remove(suspect: Suspect) {
        writeUntilDone("remove", keyOf(suspect)) { key, expected ->
            if (expected is ExpectedVersion.Absent) null else store.remove(key, expected)
        }
    }

    /** Performs [write] on the newest version of the object at [key]; null means that nothing is to be written. */
    private suspend fun writeUntilDone(
        call: String,
        key: String,
        write: suspend (key: String, expected: ExpectedVersion) -> ObjectWriting?,
    ) {
        while (true) {
            val reading = store.read(key)
            val expected =
                when (reading) {
                    is ObjectReading.Found -> ExpectedVersion.Is(reading.stored.version)
                    is ObjectReading.Absent -> ExpectedVersion.Absent
                    is ObjectReading.Unavailable -> null
                }
            val outcome = if (expected == null) reading else write(key, expected) ?: return
            if (outcome is ObjectWriting.Written) return
            waitAfterFailure(call, outcome)
        }
    }

    private suspend fun waitAfterFailure(call: String, outcome: Any) {
        log.write(LogEvent.QUARANTINE_UNSTORED) {
            field("call", call)
            field("outcome", outcome)
        }
        delay(retryDelay)
    }

    private fun decode(stored: StoredObject): Either<String, SuspectReport> {
        val decoded = Json.decodeFromString(StoredSuspect.serializer(), stored.value.orEmpty())
        val ageMillis = wallMillis() - decoded.sinceMillis.coerceAtLeast(0)
        return SuspectReport(Suspect(decoded.value), maxOf(0, ageMillis), decoded.trials).right()
    }

    /**
     * The stored form of a quarantined suspect.
     *
     * @property value see [Suspect.value]
     * @property sinceMillis Unix time in milliseconds of the quarantine or of the last trial
     */
    @Serializable
    private class StoredSuspect(
        @SerialName("part")
        val value: Long,
        val sinceMillis: Long,
        val trials: Int = 0,
    )

    private companion object {
        const val KIND = "prompt-quarantines"

        fun keyOf(suspect: Suspect): String = "$KIND/$suspect"
    }
}

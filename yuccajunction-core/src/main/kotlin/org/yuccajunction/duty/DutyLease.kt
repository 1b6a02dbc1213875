package org.yuccajunction.duty

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.port.ExpectedVersion
import org.yuccajunction.port.ObjectReading
import org.yuccajunction.port.ObjectStore
import org.yuccajunction.port.ObjectVersion
import org.yuccajunction.port.ObjectWriting
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The lease of the duties: the tasks, such as usage reports and capacity orders, that one entry performs for all.
 *
 * Before each call the holder writes the duty record conditionally; the call must start within [GRANT_VALIDITY] of the
 * start of that write. A new holder waits for [TAKEOVER_DELAY] before its first call, so that calls of the former
 * holder have ended. The delay counts from when the new holder read the record that it replaced: the conditional write
 * shows that the former holder has not renewed since. A holder that was paused while another entry took over gets a
 * conflict on its next write.
 *
 * @param holder name of this entry's instance
 * @param incarnation Unix time in milliseconds of this process's start
 * @property now returns the time of a clock that also advances while the process is suspended
 */
public class DutyLease(
    private val store: ObjectStore,
    private val holder: String,
    private val incarnation: Long,
    public val now: () -> MonotonicTime,
) {
    private var cached: StoredRecord? = null
    private var isWriteOutcomeUnknown = false

    /** Fencing number that this entry has taken, also by a write of unknown outcome, with the time of the last read. */
    private var acquisition: Acquisition? = null
    private var renewedAt: MonotonicTime? = null

    /** The fencing number if the cached record names this incarnation as the holder, null otherwise. */
    public val fencingNumber: Long? get() = cached?.record?.takeIf(::isOwn)?.fencingNumber

    /** Time since the start of the last renewal, null before the first. */
    public val renewalAge: Duration? get() = renewedAt?.let { now() - it }

    /** Whether this entry holds the duties by the cached record, or may hold them after a write of unknown outcome. */
    public val isPresumedHolder: Boolean get() = fencingNumber != null || isWriteOutcomeUnknown

    /** Returns the cached duty record, or reads it from the store if none is cached. */
    public suspend fun readRecord(): DutyReading {
        cached?.let { return DutyReading.Found(it.record) }
        return when (val reading = store.read(RECORD_KEY)) {
            is ObjectReading.Absent -> DutyReading.Absent
            is ObjectReading.Unavailable -> DutyReading.Unavailable(reading.detail)
            is ObjectReading.Found -> decode(reading)
        }
    }

    private fun decode(reading: ObjectReading.Found): DutyReading {
        val record =
            try {
                Json.decodeFromString<DutyRecord>(reading.stored.value.orEmpty())
            } catch (exception: SerializationException) {
                return DutyReading.Unavailable("duty record $RECORD_KEY can't be decoded: ${exception.message}")
            }
        cached = StoredRecord(record, reading.stored.version, now())
        isWriteOutcomeUnknown = false
        val isAcquired = acquisition?.fencingNumber == record.fencingNumber
        if (isOwn(record) && !isAcquired) acquisition = Acquisition(record.fencingNumber, now())
        return DutyReading.Found(record)
    }

    /** Clears the cached record, so that the next call reads it from the store. */
    public fun clearCache() {
        cached = null
        isWriteOutcomeUnknown = false
    }

    /** Takes the duties over from the present holder, if any; returns whether this entry holds them now. */
    public suspend fun takeOver(): Boolean {
        val reading = readRecord()
        if (reading is DutyReading.Unavailable) return false
        val former = cached?.record
        if (former != null && isOwn(former)) return true
        val record =
            DutyRecord(
                holder = holder,
                incarnation = incarnation,
                fencingNumber = (former?.fencingNumber ?: 0) + 1,
                totals = former?.totals.orEmpty(),
                baseline = former?.baseline.orEmpty(),
            )
        val lastForeignWriteBy = cached?.readAt ?: now()
        if (!write(record)) return false
        acquisition = Acquisition(record.fencingNumber, lastForeignWriteBy)
        return true
    }

    /**
     * Renews the lease by a conditional write; returns null where this entry must not start a call now.
     *
     * Entries of [totals] and [baseline] are added to the record only where it has no value for their keys.
     *
     * @param totals usage totals by window number and workspace
     * @param baseline number of servers by service and availability zone
     */
    public suspend fun renew(
        totals: Map<Long, Map<String, Int>> = emptyMap(),
        baseline: Map<String, Map<String, Int>> = emptyMap(),
    ): DutyGrant? {
        if (isWriteOutcomeUnknown) readRecord()
        val record = cached?.record?.takeIf { isOwn(it) && isTakeoverDelayOver(it) } ?: return null
        val writeStartedAt = now()
        val keptTotals = (totals + record.totals).toSortedMap().entries.toList().takeLast(MAX_KEPT_WINDOWS)
        val next =
            record.copy(
                renewals = record.renewals + 1,
                totals = keptTotals.associate { it.key to it.value },
                baseline = baseline + record.baseline,
            )
        renewedAt = writeStartedAt
        if (!write(next)) return null
        return DutyGrant(next, writeStartedAt + GRANT_VALIDITY).takeIf { it.isValid(now()) }
    }

    private fun isTakeoverDelayOver(record: DutyRecord): Boolean {
        val acquired = acquisition?.takeIf { it.fencingNumber == record.fencingNumber } ?: return false
        return now() - acquired.lastForeignWriteBy >= TAKEOVER_DELAY
    }

    private suspend fun write(record: DutyRecord): Boolean {
        val expected = cached?.let { ExpectedVersion.Is(it.version) } ?: ExpectedVersion.Absent
        val writing = store.write(RECORD_KEY, Json.encodeToString(DutyRecord.serializer(), record), expected)
        when (writing) {
            is ObjectWriting.Written -> cached = StoredRecord(record, writing.version, now())
            is ObjectWriting.Refused -> Unit
            is ObjectWriting.Conflict -> clearCache()
            is ObjectWriting.Unknown -> {
                cached = null
                isWriteOutcomeUnknown = isOwn(record)
            }
        }
        return writing is ObjectWriting.Written
    }

    private fun isOwn(record: DutyRecord): Boolean = record.holder == holder && record.incarnation == incarnation

    private class StoredRecord(val record: DutyRecord, val version: ObjectVersion, val readAt: MonotonicTime)

    /** A taken [fencingNumber]; no other holder has written the record after [lastForeignWriteBy]. */
    private class Acquisition(val fencingNumber: Long, val lastForeignWriteBy: MonotonicTime)

    public companion object {
        /** Key of the duty record in the object store. */
        public const val RECORD_KEY: String = "entry-duties/main"

        /** Time from the start of a renewing write within which a call must start. */
        public val GRANT_VALIDITY: Duration = 1.seconds

        /** Time that a new holder waits before its first call, from its reading of the former holder's record. */
        public val TAKEOVER_DELAY: Duration = 2_500.milliseconds

        /** Newest usage windows whose totals the record keeps. */
        private const val MAX_KEPT_WINDOWS = 4
    }
}

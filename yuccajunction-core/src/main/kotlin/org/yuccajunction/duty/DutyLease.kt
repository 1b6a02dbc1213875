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
 * The lease of the duties that one entry does at a time.
 *
 * Every act is preceded by a conditional write of the record and must begin within [GRANT_VALIDITY] of that write's
 * start.
 * A new holder waits for [TAKEOVER_DELAY] before its first act, so that acts of the former one have ended. A holder
 * that was paused finds its write refused.
 *
 * @property now reads a clock that counts the time for which the process was suspended
 */
public class DutyLease(
    private val store: ObjectStore,
    private val holder: String,
    private val incarnation: Long,
    public val now: () -> MonotonicTime,
) {
    private var cached: StoredRecord? = null
    private var isWriteOutcomeUnknown = false
    private var acquiredAt: MonotonicTime? = null

    /** The fencing number while this entry holds the duties, null otherwise. */
    public val fencingNumber: Long? get() = cached?.record?.takeIf(::isOwn)?.fencingNumber

    /** Whether this entry held the duties when it last knew. */
    public val isPresumedHolder: Boolean get() = fencingNumber != null || isWriteOutcomeUnknown

    /** Reads the record if it is not known; returns null where the store does not tell. */
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
                return DutyReading.Unavailable("record can't be read: ${exception.message}")
            }
        cached = StoredRecord(record, reading.stored.version)
        isWriteOutcomeUnknown = false
        if (isOwn(record) && acquiredAt == null) acquiredAt = now()
        return DutyReading.Found(record)
    }

    /** Forgets what was read, so that the next call reads anew. */
    public fun clearCache() {
        cached = null
        isWriteOutcomeUnknown = false
    }

    /** Takes the duties over from whoever holds them; returns whether this entry holds them now. */
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
        if (!write(record)) return false
        acquiredAt = now()
        return true
    }

    /**
     * Confirms that this entry holds the duties; returns null where it can't act now.
     *
     * [totals] and [baseline] are recorded where the record does not hold them yet.
     */
    public suspend fun renew(
        totals: Map<Long, Map<String, Int>> = emptyMap(),
        baseline: Map<String, Map<String, Int>> = emptyMap(),
    ): DutyGrant? {
        if (isWriteOutcomeUnknown) readRecord()
        val record = cached?.record?.takeIf { isOwn(it) && isTakeoverDelayOver() } ?: return null
        val writeStartedAt = now()
        val keptTotals = (totals + record.totals).toSortedMap().entries.toList().takeLast(MAX_KEPT_WINDOWS)
        val next =
            record.copy(
                renewals = record.renewals + 1,
                totals = keptTotals.associate { it.key to it.value },
                baseline = baseline + record.baseline,
            )
        if (!write(next)) return null
        return DutyGrant(next, writeStartedAt + GRANT_VALIDITY).takeIf { it.isValid(now()) }
    }

    private fun isTakeoverDelayOver(): Boolean = acquiredAt?.let { now() - it >= TAKEOVER_DELAY } == true

    private suspend fun write(record: DutyRecord): Boolean {
        val expected = cached?.let { ExpectedVersion.Is(it.version) } ?: ExpectedVersion.Absent
        val writing = store.write(RECORD_KEY, Json.encodeToString(DutyRecord.serializer(), record), expected)
        when (writing) {
            is ObjectWriting.Written -> cached = StoredRecord(record, writing.version)
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

    private class StoredRecord(val record: DutyRecord, val version: ObjectVersion)

    public companion object {
        /** Key of the record in the store. */
        public const val RECORD_KEY: String = "entry-duties/main"

        /** Time from the start of a confirming write in which an act must begin. */
        public val GRANT_VALIDITY: Duration = 1.seconds

        /** Time that a new holder lets pass before its first act. */
        public val TAKEOVER_DELAY: Duration = 2_500.milliseconds
        private const val MAX_KEPT_WINDOWS = 4
    }
}

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
 * Every act is preceded by a conditional write of the record and must begin within [GRANT_TIME] of that write's start.
 * A new holder waits for [TAKEOVER_DELAY] before its first act, so that acts of the former one have ended. A holder
 * that was paused finds its write refused.
 *
 * @property now reads a clock that counts the time for which the process was suspended
 */
public class DutyLease(
    private val store: ObjectStore,
    private val holder: String,
    private val run: Long,
    public val now: () -> MonotonicTime,
) {
    private var known: Known? = null
    private var isInDoubt = false
    private var takenAt: MonotonicTime? = null

    /** The fencing number while this entry holds the duties, null otherwise. */
    public val number: Long? get() = known?.record?.takeIf(::isOwn)?.number

    /** Whether this entry held the duties when it last knew. */
    public val wasHeld: Boolean get() = number != null || isInDoubt

    /** Reads the record if it is not known; returns null where the store does not tell. */
    public suspend fun read(): DutyReading {
        known?.let { return DutyReading.Known(it.record) }
        return when (val reading = store.read(KEY)) {
            is ObjectReading.Absent -> DutyReading.Absent
            is ObjectReading.Unavailable -> DutyReading.Unavailable(reading.detail)
            is ObjectReading.Found -> decoded(reading)
        }
    }

    private fun decoded(reading: ObjectReading.Found): DutyReading {
        val record =
            try {
                Json.decodeFromString<DutyRecord>(reading.stored.value.orEmpty())
            } catch (exception: SerializationException) {
                return DutyReading.Unavailable("record can't be read: ${exception.message}")
            }
        known = Known(record, reading.stored.version)
        isInDoubt = false
        if (isOwn(record) && takenAt == null) takenAt = now()
        return DutyReading.Known(record)
    }

    /** Forgets what was read, so that the next call reads anew. */
    public fun forget() {
        known = null
        isInDoubt = false
    }

    /** Takes the duties over from whoever holds them; returns whether this entry holds them now. */
    public suspend fun takeOver(): Boolean {
        val reading = read()
        if (reading is DutyReading.Unavailable) return false
        val former = known?.record
        if (former != null && isOwn(former)) return true
        val record =
            DutyRecord(
                holder = holder,
                run = run,
                number = (former?.number ?: 0) + 1,
                totals = former?.totals.orEmpty(),
                baseline = former?.baseline.orEmpty(),
            )
        if (!write(record)) return false
        takenAt = now()
        return true
    }

    /**
     * Confirms that this entry holds the duties; returns null where it can't act now.
     *
     * [totals] and [baseline] are recorded where the record does not hold them yet.
     */
    public suspend fun claim(
        totals: Map<Long, Map<String, Int>> = emptyMap(),
        baseline: Map<String, Map<String, Int>> = emptyMap(),
    ): DutyGrant? {
        if (isInDoubt) read()
        val record = known?.record?.takeIf { isOwn(it) && hasSettled() } ?: return null
        val startedAt = now()
        val kept = (totals + record.totals).toSortedMap().entries.toList().takeLast(KEPT_TOTALS)
        val next =
            record.copy(
                claims = record.claims + 1,
                totals = kept.associate { it.key to it.value },
                baseline = baseline + record.baseline,
            )
        if (!write(next)) return null
        return DutyGrant(next, startedAt + GRANT_TIME).takeIf { it.isValid(now()) }
    }

    private fun hasSettled(): Boolean = takenAt?.let { now() - it >= TAKEOVER_DELAY } == true

    private suspend fun write(record: DutyRecord): Boolean {
        val expected = known?.let { ExpectedVersion.Is(it.version) } ?: ExpectedVersion.Absent
        val writing = store.write(KEY, Json.encodeToString(DutyRecord.serializer(), record), expected)
        when (writing) {
            is ObjectWriting.Written -> known = Known(record, writing.version)
            is ObjectWriting.Refused -> Unit
            is ObjectWriting.Conflict -> forget()
            is ObjectWriting.Unknown -> {
                known = null
                isInDoubt = isOwn(record)
            }
        }
        return writing is ObjectWriting.Written
    }

    private fun isOwn(record: DutyRecord): Boolean = record.holder == holder && record.run == run

    private class Known(val record: DutyRecord, val version: ObjectVersion)

    public companion object {
        /** Key of the record in the store. */
        public const val KEY: String = "entry-duties/main"

        /** Time from the start of a confirming write in which an act must begin. */
        public val GRANT_TIME: Duration = 1.seconds

        /** Time that a new holder lets pass before its first act. */
        public val TAKEOVER_DELAY: Duration = 2_500.milliseconds
        private const val KEPT_TOTALS = 4
    }
}

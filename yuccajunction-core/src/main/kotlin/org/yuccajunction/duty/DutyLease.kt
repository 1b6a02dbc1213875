package org.yuccajunction.duty

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.port.ExpectedVersion
import org.yuccajunction.port.ObjectReading
import org.yuccajunction.port.ObjectStore
import org.yuccajunction.port.ObjectVersion
import org.yuccajunction.port.ObjectWriting
import org.yuccajunction.port.StoreEra
import org.yuccajunction.port.StoredObject
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The lease of the duties: the tasks, such as usage reports and capacity orders, that one entry performs for all.
 *
 * Before each call the holder writes the duty record conditionally; the call must start within [GRANT_VALIDITY] of the
 * start of that write. A new holder waits for [TAKEOVER_DELAY] before its first call, so that calls of the former
 * holder have ended; a call without an answer in time ends so that it can't arrive later. The delay counts from when
 * the new holder read the record that it replaced: the conditional write shows that the former holder has not renewed
 * since. A holder that was paused while another entry took over gets a conflict on its next write.
 *
 * A restore of the store may undo records, so nothing that was read before it is used after it. The numbers of an era
 * are above all those of the eras before: an entry that was the holder, also one that the restored record names, takes
 * the duties over again. What this entry knows of undone records goes into its next one.
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
    private var lastRecord: StoredRecord? = null
    private var isWriteOutcomeUnknown = false

    /** The newest record that the store has confirmed, whether or not a restore has undone it since. */
    private var newestConfirmed: DutyRecord? = null

    private val cached: StoredRecord? get() = lastRecord?.takeIf { it.era == store.era }

    /** Fencing number that this entry has taken, also by a write of unknown outcome, with the time of the last read. */
    private var acquisition: Acquisition? = null
    private var renewedAt: MonotonicTime? = null

    /** The fencing number if the cached record names this incarnation as the holder, null otherwise. */
    public val fencingNumber: Long? get() = cached?.record?.takeIf(::isOwn)?.fencingNumber

    /** Records that this entry has read and that another writer had replaced by something else. */
    public var unreadableRecords: Int = 0
        private set

    /** The newest known era of the object API that keeps the duty record. */
    public val storeEra: StoreEra? get() = store.era

    /** Time since the start of the last renewal, null before the first. */
    public val renewalAge: Duration? get() = renewedAt?.let { now() - it }

    /** Whether this entry holds the duties by the cached record, or may hold them after a write of unknown outcome. */
    public val isPresumedHolder: Boolean get() = fencingNumber != null || isWriteOutcomeUnknown

    /** Returns the cached duty record, or reads it from the store if none is cached. */
    public suspend fun readRecord(): DutyReading {
        cached?.let { return DutyReading.Found(it.record) }
        val era = store.era
        val reading = store.read(RECORD_KEY)
        if (store.era != era) return DutyReading.Unavailable("the store's era became ${store.era} during the call")
        return when (reading) {
            is ObjectReading.Absent -> DutyReading.Absent
            is ObjectReading.Unavailable -> DutyReading.Unavailable(reading.detail)
            is ObjectReading.Found -> accept(reading.stored)
        }
    }

    private fun accept(stored: StoredObject): DutyReading {
        val record = decode(stored.value.orEmpty()) ?: replacementOf(stored).also { unreadableRecords += 1 }
        confirm(record, stored.version)
        isWriteOutcomeUnknown = false
        val isAcquired = acquisition?.fencingNumber == record.fencingNumber
        if (isOwn(record) && !isAcquired) acquisition = Acquisition(record.fencingNumber, now())
        return DutyReading.Found(record)
    }

    /** Returns the record in [text], null where another writer has left something else. */
    private fun decode(text: String): DutyRecord? =
        try {
            Json.decodeFromString<DutyRecord>(text).takeIf { it.fencingNumber in PLAUSIBLE_NUMBERS }
        } catch (_: SerializationException) {
            null
        }

    /**
     * Returns a record of no holder in place of [unreadable], so that an entry takes the duties over.
     *
     * Each number is taken by a write, which raises the store's version, so no number of an era is above the version
     * of an object that was written after it.
     */
    private fun replacementOf(unreadable: StoredObject): DutyRecord {
        val highestOfEra = (firstNumberOfEra() ?: 0) + unreadable.version.value
        val known = newestConfirmed
        return DutyRecord(
            holder = "",
            incarnation = 0,
            fencingNumber = maxOf(highestOfEra, known?.fencingNumber ?: 0),
            totals = known?.totals.orEmpty(),
            baseline = known?.baseline.orEmpty(),
        )
    }

    private fun confirm(record: DutyRecord, version: ObjectVersion) {
        lastRecord = StoredRecord(record, version, now(), store.era)
        newestConfirmed =
            listOfNotNull(newestConfirmed, record).maxWith(compareBy({ it.fencingNumber }, { it.renewals }))
    }

    /** Clears the cached record, so that the next call reads it from the store. */
    public fun clearCache() {
        lastRecord = null
        isWriteOutcomeUnknown = false
    }

    /** Takes the duties over from the present holder, if any; returns whether this entry holds them now. */
    public suspend fun takeOver(): Boolean {
        val reading = readRecord()
        if (reading is DutyReading.Unavailable) return false
        val former = cached?.record
        if (former != null && isOwn(former)) return true
        val undone = newestConfirmed.takeUnless { isOfPresentEra(former) }
        val record =
            DutyRecord(
                holder = holder,
                incarnation = incarnation,
                fencingNumber = nextFencingNumber(),
                totals = undone?.totals.orEmpty() + former?.totals.orEmpty(),
                baseline = undone?.baseline.orEmpty() + former?.baseline.orEmpty(),
            )
        val lastForeignWriteBy = cached?.readAt ?: now()
        if (!write(record)) return false
        acquisition = Acquisition(record.fencingNumber, lastForeignWriteBy)
        return true
    }

    /**
     * Returns a number above the cached record's and above all that were used before the last restore of the store.
     *
     * Within an era, the version of the replaced record makes it unique even if that record's number was lost.
     */
    private fun nextFencingNumber(): Long {
        val next = (cached?.record?.fencingNumber ?: 0) + 1
        val firstOfEra = firstNumberOfEra() ?: return next
        return maxOf(next, firstOfEra + (cached?.version?.value ?: 0))
    }

    private fun firstNumberOfEra(): Long? = store.era?.let { it.value * NUMBERS_PER_ERA }

    /** Returns whether [record] was written since the last restore of the store, or the store names no eras. */
    private fun isOfPresentEra(record: DutyRecord?): Boolean {
        val firstOfEra = firstNumberOfEra() ?: return true
        return record != null && record.fencingNumber >= firstOfEra
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
        val era = store.era
        val writing = store.write(RECORD_KEY, Json.encodeToString(DutyRecord.serializer(), record), expected)
        if (store.era != era) {
            // The version that the write named may have been given out again to the record of another holder.
            clearCache()
            return false
        }
        when (writing) {
            is ObjectWriting.Written -> confirm(record, writing.version)
            is ObjectWriting.Refused -> Unit
            is ObjectWriting.Conflict -> clearCache()
            is ObjectWriting.Unknown -> {
                lastRecord = null
                isWriteOutcomeUnknown = isOwn(record)
            }
        }
        return writing is ObjectWriting.Written
    }

    private fun isOwn(record: DutyRecord): Boolean =
        record.holder == holder && record.incarnation == incarnation && isOfPresentEra(record)

    private class StoredRecord(
        val record: DutyRecord,
        val version: ObjectVersion,
        val readAt: MonotonicTime,
        val era: StoreEra?,
    )

    /** A taken [fencingNumber]; no other holder has written the record after [lastForeignWriteBy]. */
    private class Acquisition(val fencingNumber: Long, val lastForeignWriteBy: MonotonicTime)

    public companion object {
        /** Key of the duty record in the object store. */
        public const val RECORD_KEY: String = "entry-duties/main"

        /** Time from the start of a renewing write within which a call must start. */
        public val GRANT_VALIDITY: Duration = 1.seconds

        /** Time that a new holder waits before its first call, from its reading of the former holder's record. */
        public val TAKEOVER_DELAY: Duration = 2_500.milliseconds

        /** Fencing numbers of one era: more than an object API gives out versions. */
        private const val NUMBERS_PER_ERA = 1L shl 40

        /** Numbers that a record may name; larger ones leave no room for those of later holders. */
        private val PLAUSIBLE_NUMBERS = 0..Long.MAX_VALUE / 2

        /** Newest usage windows whose totals the record keeps. */
        private const val MAX_KEPT_WINDOWS = 4
    }
}

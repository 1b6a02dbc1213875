package org.yuccajunction.duty

/** The result of reading the duty record. */
public sealed interface DutyReading {
    /** The record was read or is cached; one that can't be read counts as the record of no holder. */
    public data class Found(public val record: DutyRecord) : DutyReading

    /** The store has no duty record: no entry has held the duties yet. */
    public data object Absent : DutyReading

    /** The store could not be read. */
    public data class Unavailable(public val detail: String) : DutyReading
}

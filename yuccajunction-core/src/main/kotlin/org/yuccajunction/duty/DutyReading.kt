package org.yuccajunction.duty

/** What the store tells of the duties' holder. */
public sealed interface DutyReading {
    public data class Found(public val record: DutyRecord) : DutyReading

    public data object Absent : DutyReading

    public data class Unavailable(public val detail: String) : DutyReading
}

package org.yuccajunction.load

/** Identifies a series: the requests of one [workspace] and one [kind]. */
public data class SeriesKey(public val workspace: String, public val kind: String)

package org.yuccajunction.load

/** Names one series of a result: the requests of one [workspace] and one [kind]. */
public data class SeriesKey(public val workspace: String, public val kind: String)

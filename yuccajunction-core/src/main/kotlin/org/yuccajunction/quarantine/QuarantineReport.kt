package org.yuccajunction.quarantine

import kotlinx.serialization.Serializable

/**
 * What an entry reports to its peers of suspects, under which backend servers may have ended.
 *
 * The binary form goes by position: the order and the types of the properties must not change.
 *
 * @property ends ends of servers that the entry has observed lately
 * @property progress suspects that servers have answered nevertheless
 * @property quarantined suspects that no entry may send
 * @property executing requests that the entry has sent though servers ended under them more than once
 */
@Serializable
public data class QuarantineReport(
    public val ends: List<ServerEndReport> = emptyList(),
    public val progress: List<SuspectReport> = emptyList(),
    public val quarantined: List<SuspectReport> = emptyList(),
    public val executing: List<Suspect> = emptyList(),
) {
    /** Whether the report holds evidence that decides on requests which are open now. */
    public val hasFreshEvidence: Boolean
        get() = ends.isNotEmpty() || progress.isNotEmpty() || executing.isNotEmpty()
}

package org.yuccajunction.load

/**
 * One request with the time at which it is sent, whatever has become of earlier ones.
 *
 * @property number place in the schedule, from 0
 * @property atNanos time since the start of the load, in nanoseconds
 * @property isMeasured whether the request belongs to the measured part
 */
public data class ScheduledRequest(
    public val number: Int,
    public val atNanos: Long,
    public val isMeasured: Boolean,
    public val workspace: WorkspaceLoad,
    public val shape: RequestShape,
    public val prompt: String,
)

package org.yuccajunction.load

/**
 * A request with a fixed send time, independent of the progress of earlier requests.
 *
 * @property number index in the schedule, from 0
 * @property atNanos send time in nanoseconds since the start of the load
 * @property isMeasured whether the request belongs to the measured period rather than the warm-up
 */
public data class ScheduledRequest(
    public val number: Int,
    public val atNanos: Long,
    public val isMeasured: Boolean,
    public val workspace: WorkspaceLoad,
    public val shape: RequestShape,
    public val prompt: String,
)

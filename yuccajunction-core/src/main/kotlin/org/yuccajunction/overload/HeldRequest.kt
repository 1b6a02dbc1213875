package org.yuccajunction.overload

import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration

/**
 * A request that was read and waits for its admission.
 *
 * @property value what the driver needs to admit or reject the request
 * @property arrivedAt earliest time at which the request may have arrived in the socket
 * @property readAt time at which the last byte of the request was read
 * @property deadline time by which the caller must have the final answer
 * @property latencyTarget time within which the answer, or the first event of a stream, should arrive
 * @property rank urgency of the request; 0 is the most urgent
 */
public class HeldRequest<T>(
    public val value: T,
    public val arrivedAt: MonotonicTime,
    public val readAt: MonotonicTime,
    public val deadline: MonotonicTime,
    public val latencyTarget: Duration,
    public val rank: Int,
)

package org.yuccajunction.rollout

import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion
import org.yuccajunction.port.ObjectVersion
import kotlin.time.Duration

/**
 * An operator's order to move a service to another version within a time limit.
 *
 * @property key key of the order in the object store
 * @property incarnation distinguishes the order from an earlier one under the same key
 * @property timeLimit time from the order until the move must be completed or rolled back
 * @property objectVersion version of the stored object, which a conditional write of the status expects
 * @property writtenPhase phase that the stored status reports for [target], null where it reports none
 */
public data class RolloutOrder(
    public val key: String,
    public val incarnation: Long,
    public val service: ServiceName,
    public val target: ServiceVersion,
    public val timeLimit: Duration,
    public val objectVersion: ObjectVersion,
    public val writtenPhase: MovePhase? = null,
) {
    /** Identifies the move that this order asks for; the same for all versions of the stored object. */
    public val moveName: String get() = "$key $target $incarnation"
}

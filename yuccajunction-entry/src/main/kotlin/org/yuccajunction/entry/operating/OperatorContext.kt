package org.yuccajunction.entry.operating

import org.yuccajunction.control.Blackboard
import org.yuccajunction.document.OperatorRule
import org.yuccajunction.operator.ExplainMessage
import org.yuccajunction.operator.RoutingExplanation
import org.yuccajunction.port.ObjectStore
import org.yuccajunction.routing.OpenRequests

/**
 * The parts of the entry that the operator API depends on.
 *
 * @property board returns the newest state of the control thread
 * @property objects object API; calls count against the entry's request budget
 * @property openRequests open requests of this entry at the backend servers
 * @property explain explains a routing choice without sending a request
 * @property operators returns the operators in this entry's own operators file, called for each request
 * @property currentInstant returns the current time as an ISO 8601 instant
 * @property pauseBeforeAttempt suspends before the given attempt of a change; attempts count from 1
 */
public class OperatorContext(
    public val board: () -> Blackboard,
    public val objects: ObjectStore,
    public val openRequests: OpenRequests,
    public val explain: (ExplainMessage) -> RoutingExplanation,
    public val operators: () -> List<OperatorRule>,
    public val currentInstant: () -> String,
    public val pauseBeforeAttempt: suspend (attempt: Int) -> Unit,
)

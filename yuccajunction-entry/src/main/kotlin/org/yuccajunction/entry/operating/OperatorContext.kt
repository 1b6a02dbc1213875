package org.yuccajunction.entry.operating

import org.yuccajunction.control.Blackboard
import org.yuccajunction.document.OperatorRule
import org.yuccajunction.operator.ExplainMessage
import org.yuccajunction.operator.RoutingExplanation
import org.yuccajunction.port.ObjectStore
import org.yuccajunction.routing.OpenRequests

/**
 * What the operator API needs from the entry.
 *
 * @property board the newest blackboard
 * @property objects the object API; its calls count against the entry's budget
 * @property openRequests this entry's open requests
 * @property explain explains a routing choice without making it
 * @property operators the operators of this entry's own settings, read anew at each call
 * @property currentInstant the time of day as an ISO 8601 instant
 * @property pauseBeforeAttempt waits before the next attempt of a change, which is counted from 1
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

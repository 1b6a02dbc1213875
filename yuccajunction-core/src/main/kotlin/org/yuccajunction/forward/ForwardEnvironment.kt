package org.yuccajunction.forward

import org.yuccajunction.fleet.ServerChoice
import org.yuccajunction.fleet.ServerQuery
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName

/**
 * Functions that the state machines of all requests of one entry share.
 *
 * @property chooseServer returns the backend server for an attempt, or the cause of a refusal
 * @property tryTakeRetry takes one retry out of the retry budget of a service; returns false if the budget is used up
 * @property isSilent returns whether a server has sent nothing for too long since an attempt started there
 * @property isGone returns whether a server is no longer listed
 * @property canEndInTime returns whether a request that is sent to a server now can end before this entry stops
 */
public class ForwardEnvironment(
    public val chooseServer: (query: ServerQuery, now: MonotonicTime) -> ServerChoice,
    public val tryTakeRetry: (service: ServiceName, now: MonotonicTime) -> Boolean,
    public val isSilent: (server: BackendServerId, since: MonotonicTime, now: MonotonicTime) -> Boolean,
    public val isGone: (server: BackendServerId) -> Boolean,
    public val canEndInTime: (request: ForwardRequest, now: MonotonicTime) -> Boolean = { _, _ -> true },
)

package org.yuccajunction.forward

import org.yuccajunction.fleet.ServerChoice
import org.yuccajunction.fleet.ServerQuery
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName

/**
 * What the machines of all requests of one entry share.
 *
 * @property chooseServer chooses a backend server for an attempt
 * @property tryTakeRetry takes one further attempt at a service out of the retry budget; false where it is spent
 * @property isSilent whether a server has sent nothing for too long since an attempt began there
 * @property isGone whether a server has left the list of servers
 */
public class ForwardEnvironment(
    public val chooseServer: (query: ServerQuery, now: MonotonicTime) -> ServerChoice,
    public val tryTakeRetry: (service: ServiceName, now: MonotonicTime) -> Boolean,
    public val isSilent: (server: BackendServerId, since: MonotonicTime, now: MonotonicTime) -> Boolean,
    public val isGone: (server: BackendServerId) -> Boolean,
)

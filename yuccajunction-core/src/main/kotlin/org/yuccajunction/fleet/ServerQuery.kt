package org.yuccajunction.fleet

import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.model.BackendServerId

/**
 * Input to the choice of a backend server for one attempt.
 *
 * @property excluded servers that must not be chosen, since they already had an attempt of the request
 */
public class ServerQuery(public val request: ForwardRequest, public val excluded: Set<BackendServerId> = emptySet())

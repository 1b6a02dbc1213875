package org.yuccajunction.fleet

import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.model.BackendServerId

/**
 * What the choice of a backend server for one attempt depends on.
 *
 * @property excluded servers at which the request was already tried
 */
public class ServerQuery(public val request: ForwardRequest, public val excluded: Set<BackendServerId> = emptySet())

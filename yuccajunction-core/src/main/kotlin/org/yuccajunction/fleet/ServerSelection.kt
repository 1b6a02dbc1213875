package org.yuccajunction.fleet

/**
 * The result of comparing backend servers for a request.
 *
 * @property candidates all servers that were considered
 * @property chosen the one of [candidates] that gets the request, null if none can take it
 */
public class ServerSelection internal constructor(
    public val candidates: List<ServerCandidate>,
    public val chosen: ServerCandidate?,
)

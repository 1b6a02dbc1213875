package org.yuccajunction.gateway

/**
 * Builds the entry's answers about itself in the format of the platform that the entry runs on.
 *
 * @property readiness builds the answer to a readiness check; `uri` is the requested path and query
 * @property addresses builds the answer that lists the entries' `addresses` for callers; `uri` as above
 */
public class GatewayAnswers(
    public val readiness: (uri: String, isReady: Boolean) -> SmallAnswer,
    public val addresses: (uri: String, addresses: List<String>) -> SmallAnswer,
)

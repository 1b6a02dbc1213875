package org.yuccajunction.gateway

/**
 * How an entry words its answers to questions about itself, on the platform that it runs on.
 *
 * @property readiness answers a request for the path and query `uri` with whether the entry is ready
 * @property addresses answers a request for the path and query `uri` with the addresses that callers may use
 */
public class GatewayAnswers(
    public val readiness: (uri: String, isReady: Boolean) -> SmallAnswer,
    public val addresses: (uri: String, addresses: List<String>) -> SmallAnswer,
)

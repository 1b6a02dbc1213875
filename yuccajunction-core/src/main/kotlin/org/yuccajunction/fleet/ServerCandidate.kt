package org.yuccajunction.fleet

/**
 * A backend server that was considered for a request.
 *
 * @property holdReason why the server gets no request, null if it might get one
 * @property terms what the request would cost there, null if there is a [holdReason]
 */
public class ServerCandidate internal constructor(
    public val server: BackendServer,
    public val holdReason: HoldReason?,
    public val terms: CandidateTerms?,
)

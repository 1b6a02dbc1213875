package org.yuccajunction.shortage

import org.yuccajunction.model.ServiceName

/**
 * What an entry rejected for shortage of one service in the last second or more, and why.
 *
 * @property rejected number of rejected requests by rank
 * @property terms terms of the last rejection
 */
public class ShortageStatus(
    public val service: ServiceName,
    public val rejected: Map<Int, Int>,
    public val terms: AdmissionTerms,
)

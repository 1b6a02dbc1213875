package org.yuccajunction.rollout

import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.fleet.OpenAttempts

/**
 * What a decision about the move of one service needs to know beside the counts of attempts.
 *
 * @property servers listed servers of the service, all versions
 * @property openRequests requests in execution at all versions, over all live entries
 * @property ownOpenAtOldVersion attempts of this entry that are open at other versions than the new one
 * @property entries live entries, this one included
 * @property hasCurrentReports whether the peers' counts are current, as they are not directly after a pause
 */
public class ServiceView(
    public val servers: List<BackendServer>,
    public val openRequests: Int,
    public val ownOpenAtOldVersion: OpenAttempts,
    public val entries: Int,
    public val hasCurrentReports: Boolean = true,
)

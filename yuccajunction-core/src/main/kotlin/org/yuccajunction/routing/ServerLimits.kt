package org.yuccajunction.routing

/**
 * Requests that one backend server bears at once from all entries together.
 *
 * @property warm after its cold start
 * @property cold during its cold start
 */
public data class ServerLimits(public val warm: Int, public val cold: Int)

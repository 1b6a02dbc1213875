package org.yuccajunction.testing.application

import kotlinx.serialization.Serializable

/**
 * Behaviour of the application stand-in without faults.
 *
 * @property requestLimit number of open calls above which calls are rejected
 * @property serviceMillis time in milliseconds that each call takes
 * @property coldMillis length of the cold start in milliseconds
 * @property coldRequestLimit number of open calls above which the server fails all calls during its cold start
 * @property reportLagMillis age of the load report in milliseconds
 */
@Serializable
public data class ApplicationSettings(
    public val requestLimit: Int = 64,
    public val serviceMillis: Long = 5,
    public val coldMillis: Long = 0,
    public val coldRequestLimit: Int = 1,
    public val reportLagMillis: Long = 200,
)

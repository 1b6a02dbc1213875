package org.yuccajunction.testing.application

import kotlinx.serialization.Serializable

/**
 * How the application stand-in behaves when nothing is wrong.
 *
 * @property requestLimit calls beyond this number at once are refused as not run
 * @property serviceMillis time that one call takes
 * @property coldMillis length of the cold start
 * @property coldRequestLimit calls at once above which the server falls over in cold start
 * @property reportLagMillis age of the load report
 */
@Serializable
public data class ApplicationSettings(
    public val requestLimit: Int = 64,
    public val serviceMillis: Long = 5,
    public val coldMillis: Long = 0,
    public val coldRequestLimit: Int = 1,
    public val reportLagMillis: Long = 200,
)

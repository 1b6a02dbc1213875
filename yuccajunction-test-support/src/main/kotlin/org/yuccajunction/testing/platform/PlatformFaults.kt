package org.yuccajunction.testing.platform

import kotlinx.serialization.Serializable

/**
 * Faults of the platform, in effect until a test sets others.
 *
 * @property objectsUnavailable whether the object API answers all calls with 503
 * @property objectsDelayMillis delay in milliseconds before each call of the object API takes effect
 * @property objectsHang whether calls of the object API take no effect and get no response
 * @property loseWriteAnswers number of next writes and removals that take effect but get no response
 * @property instancesUnavailable whether the instance list is answered with 503
 * @property instanceListLagMillis age in milliseconds of the instance list that is returned
 * @property cloudUnavailable whether the cloud API answers all calls with 503
 * @property refuseStarts whether the cloud answers all starts with 503, as if no capacity were left
 * @property loseStartAnswers number of next starts that take effect but get no response
 */
@Serializable
public data class PlatformFaults(
    public val objectsUnavailable: Boolean = false,
    public val objectsDelayMillis: Long = 0,
    public val objectsHang: Boolean = false,
    public val loseWriteAnswers: Int = 0,
    public val instancesUnavailable: Boolean = false,
    public val instanceListLagMillis: Long = 0,
    public val cloudUnavailable: Boolean = false,
    public val refuseStarts: Boolean = false,
    public val loseStartAnswers: Int = 0,
)

package org.yuccajunction.testing.platform

import kotlinx.serialization.Serializable

/**
 * What the platform does wrong until it is told otherwise.
 *
 * @property objectsUnavailable whether the object API answers 503 to every call
 * @property objectsDelayMillis time that each call of the object API waits before it takes effect
 * @property objectsHang whether calls of the object API get no answer and take no effect
 * @property loseWriteAnswers how many of the next writes and removals take effect and lose their answer
 * @property instancesUnavailable whether the instance list answers 503
 * @property instanceListLagMillis age of the instance list that is answered
 * @property cloudUnavailable whether the cloud API answers 503 to every call
 * @property refuseStarts whether the cloud has no capacity
 * @property loseStartAnswers how many of the next starts take effect and lose their answer
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

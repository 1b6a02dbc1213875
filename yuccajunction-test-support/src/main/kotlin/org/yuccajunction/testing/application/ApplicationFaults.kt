package org.yuccajunction.testing.application

import kotlinx.serialization.Serializable

/**
 * Faults of the application stand-in, in effect until a test sets others.
 *
 * @property failShare share of calls that are executed and answered with 500
 * @property badPathPrefix path prefix of the calls that the faults apply to
 * @property badAboveRunning number of open calls above which calls are executed and answered with 500, null for never
 * @property delayMillis additional time in milliseconds of each call
 * @property refuseNotRun whether calls are rejected with the header `X-Not-Run`
 * @property hangBeforeRun whether calls hang before they are executed
 * @property hangAfterRun whether calls hang after they were executed
 * @property loseAnswer whether the connection is closed without a response after the call was executed
 * @property crossed whether answers carry the id of another attempt
 * @property remaining number of calls that the faults still apply to, null for all
 */
@Serializable
public data class ApplicationFaults(
    public val failShare: Double = 0.0,
    public val badPathPrefix: String = "/",
    public val badAboveRunning: Int? = null,
    public val delayMillis: Long = 0,
    public val refuseNotRun: Boolean = false,
    public val hangBeforeRun: Boolean = false,
    public val hangAfterRun: Boolean = false,
    public val loseAnswer: Boolean = false,
    public val crossed: Boolean = false,
    public val remaining: Int? = null,
)

package org.yuccajunction.testing.application

import kotlinx.serialization.Serializable

/**
 * What the application does wrong until it is told otherwise.
 *
 * @property failShare share of calls that run and are answered with 500
 * @property badPathPrefix only calls below this path are subject to the faults
 * @property badAboveRunning calls run and are answered with 500 while more than this number are open, null for never
 * @property delayMillis time added to each call
 * @property refuseNotRun whether calls are refused as not run
 * @property hangBeforeRun whether calls hang without being run
 * @property hangAfterRun whether calls hang after they were run
 * @property loseAnswer whether the connection is closed after the call was run
 * @property crossed whether answers carry the identity of another attempt
 * @property remaining number of calls that the faults apply to, null for all
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

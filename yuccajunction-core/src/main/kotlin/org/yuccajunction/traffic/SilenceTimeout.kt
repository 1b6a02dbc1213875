package org.yuccajunction.traffic

import org.yuccajunction.routing.ServiceRoute
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How long a backend server may say nothing before its connection counts as silent. */
public object SilenceTimeout {
    private const val FIRST_TOKEN_FACTOR = 4
    private const val NEXT_TOKEN_FACTOR = 25
    private const val ANSWER_FACTOR = 10
    private val MIN_FIRST_TOKEN_TIMEOUT = 2.seconds
    private val MIN_NEXT_TOKEN_TIMEOUT = 1.seconds
    private val MIN_ANSWER_TIMEOUT = 2.seconds

    /** Returns the bound for the first token of a model. */
    public fun firstToken(service: ServiceRoute): Duration =
        maxOf(MIN_FIRST_TOKEN_TIMEOUT, (service.latencyTargetMillis * FIRST_TOKEN_FACTOR).milliseconds)

    /** Returns the bound between two tokens of a model. */
    public fun nextToken(service: ServiceRoute): Duration =
        maxOf(MIN_NEXT_TOKEN_TIMEOUT, (service.betweenTokensTargetMillis * NEXT_TOKEN_FACTOR).milliseconds)

    /** Returns the bound for the answer of an application. */
    public fun answer(service: ServiceRoute): Duration =
        maxOf(MIN_ANSWER_TIMEOUT, (service.latencyTargetMillis * ANSWER_FACTOR).milliseconds)
}

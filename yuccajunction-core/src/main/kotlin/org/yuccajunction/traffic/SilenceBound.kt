package org.yuccajunction.traffic

import org.yuccajunction.routing.ServiceRoute
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How long a backend server may say nothing before its connection counts as silent. */
public object SilenceBound {
    private const val FIRST_TOKEN_FACTOR = 4
    private const val NEXT_TOKEN_FACTOR = 25
    private const val ANSWER_FACTOR = 10
    private val FIRST_TOKEN_FLOOR = 2.seconds
    private val NEXT_TOKEN_FLOOR = 1.seconds
    private val ANSWER_FLOOR = 2.seconds

    /** Returns the bound for the first token of a model. */
    public fun firstToken(service: ServiceRoute): Duration =
        maxOf(FIRST_TOKEN_FLOOR, (service.latencyTargetMillis * FIRST_TOKEN_FACTOR).milliseconds)

    /** Returns the bound between two tokens of a model. */
    public fun nextToken(service: ServiceRoute): Duration =
        maxOf(NEXT_TOKEN_FLOOR, (service.betweenTokensTargetMillis * NEXT_TOKEN_FACTOR).milliseconds)

    /** Returns the bound for the answer of an application. */
    public fun answer(service: ServiceRoute): Duration =
        maxOf(ANSWER_FLOOR, (service.latencyTargetMillis * ANSWER_FACTOR).milliseconds)
}

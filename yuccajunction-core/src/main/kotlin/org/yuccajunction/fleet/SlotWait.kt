package org.yuccajunction.fleet

import kotlin.math.exp
import kotlin.math.ln1p
import kotlin.math.sqrt

/**
 * The wait for a free slot of a server of which it is not known exactly how many requests it has.
 *
 * @param beyondSlots expected number of requests, one more included, less the slots
 * @param variance variance of the number of requests
 * @param turnMillis milliseconds after which one of the slots becomes free while all are in use
 */
internal class SlotWait(private val beyondSlots: Double, variance: Double, private val turnMillis: Double) {
    private val spread = maxOf(LEAST_SPREAD, sqrt(variance) * LOGISTIC_SCALE)

    /** The expected wait: that of the requests beyond the slots, whose number is logistically distributed. */
    val millis: Double
        get() = turnMillis * if (beyondSlots > spread * LARGE) beyondSlots else spread * ln1p(exp(beyondSlots / spread))

    /** What one more request at the server adds to the wait. */
    val millisPerRequest: Double get() = turnMillis / (1.0 + exp(-beyondSlots / spread))

    private companion object {
        /** Scale of a logistic distribution with standard deviation 1. */
        const val LOGISTIC_SCALE = 0.551
        const val LEAST_SPREAD = 0.3
        const val LARGE = 30.0
    }
}

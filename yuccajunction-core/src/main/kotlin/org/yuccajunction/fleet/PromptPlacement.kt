package org.yuccajunction.fleet

/**
 * What a request finds of its shared prompt parts at one model engine, and beside whom it would run there.
 *
 * @property recomputedTokens tokens of shared prompt parts that the engine is not expected to hold
 * @property reuse probability that another request uses a copy there before it is evicted
 * @property millisPerToken time in which an engine of usual speed processes a prompt token
 * @property pace multiple of the usual time that work takes at the engine now
 * @property running requests that the engine executes
 * @property waiting requests that wait at the engine
 * @property slots requests that the engine executes at once
 * @property freeMemoryTokens memory that running requests leave free, in tokens; negative if they take more
 * @property neededMemoryTokens memory that the request takes while it runs
 * @property usualMemoryTokens memory that a running request takes on average
 */
internal class PromptPlacement(
    private val recomputedTokens: Int,
    private val reuse: Double,
    private val millisPerToken: Double,
    val pace: Double,
    private val running: Double,
    private val waiting: Double,
    private val slots: Int,
    private val freeMemoryTokens: Double,
    private val neededMemoryTokens: Int,
    private val usualMemoryTokens: Double,
) {
    /** Requests that must end at the engine before there is a slot and memory for this one. */
    val mustEndBefore: Double
        get() {
            val forMemory = (neededMemoryTokens - freeMemoryTokens) / maxOf(1.0, usualMemoryTokens)
            return maxOf(0.0, running + 1.0 - slots, forMemory)
        }

    /** Time in which the engine processes the shared tokens that it does not hold. */
    private val recomputeMillis: Double
        get() = recomputedTokens * millisPerToken * pace

    /**
     * Delay of other requests while the engine processes shared tokens again.
     *
     * Those that wait are delayed, and those that run by the fraction of slots in use, as others wait for their ends.
     * The next request with the same parts is delayed if it does not find the copy.
     */
    val besideMillis: Double
        get() {
            val delayed = waiting + running * minOf(1.0, running / slots.coerceAtLeast(1))
            return recomputeMillis * (delayed + 1.0 - reuse)
        }
}

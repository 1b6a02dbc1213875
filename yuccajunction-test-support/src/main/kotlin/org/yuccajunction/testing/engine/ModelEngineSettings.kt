package org.yuccajunction.testing.engine

import kotlinx.serialization.Serializable

/**
 * Behaviour of the model engine stand-in without faults.
 *
 * @property requestLimit number of open requests above which requests are rejected
 * @property firstTokenMillis time in milliseconds to the first token of a fully cached prompt
 * @property prefillMicrosPerToken additional time in microseconds for each prompt token that is not cached
 * @property tokenMillis time in milliseconds between tokens while no other request is open
 * @property slowDownPerRequest fraction by which each further open request increases the time between tokens
 * @property coldMillis length of the cold start in milliseconds
 * @property coldRequestLimit number of open requests above which the server fails all requests during its cold start
 * @property reportLagMillis age of the load report in milliseconds
 * @property cacheBlocks capacity of the prefix cache in blocks of prompt words
 * @property checksFencing whether orders with an outdated fencing number are rejected
 * @property cacheEventGap every event whose sequence number is a multiple of this number is lost, 0 for none
 */
@Serializable
public data class ModelEngineSettings(
    public val requestLimit: Int = 64,
    public val firstTokenMillis: Double = 20.0,
    public val prefillMicrosPerToken: Double = 50.0,
    public val tokenMillis: Double = 5.0,
    public val slowDownPerRequest: Double = 0.02,
    public val coldMillis: Long = 0,
    public val coldRequestLimit: Int = 1,
    public val reportLagMillis: Long = 200,
    public val cacheBlocks: Int = 4_096,
    public val checksFencing: Boolean = true,
    public val cacheEventGap: Int = 0,
)

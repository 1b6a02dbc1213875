package org.yuccajunction.testing.engine

import kotlinx.serialization.Serializable

/**
 * How the model engine stand-in behaves when nothing is wrong.
 *
 * @property requestLimit requests beyond this number at once are refused as not run
 * @property firstTokenMillis time to the first token of a prompt that is in the cache
 * @property prefillMicrosPerToken time added for each prompt token that is not in the cache
 * @property tokenMillis time between tokens of a request that runs alone
 * @property slowDownPerRequest share by which each further running request lengthens the time between tokens
 * @property coldMillis length of the cold start
 * @property coldRequestLimit requests at once above which the server falls over in cold start
 * @property reportLagMillis age of the load report
 * @property cacheBlocks number of prompt blocks that the prefix cache holds
 * @property checksFencing whether an order with an old fencing number is refused
 * @property cacheEventGap one in this number of cache events is lost, 0 for none
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

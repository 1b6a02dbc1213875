package org.yuccajunction.fleet

/**
 * What a request finds at a model engine, as this entry estimates it.
 *
 * @property unprocessedTokens prompt tokens to process before the first event, those of the request included
 * @property running requests that the engine executes
 * @property waiting requests that wait at the engine for a slot, or must end before the request gets one
 */
internal class EngineState(val unprocessedTokens: Int, val running: Double, val waiting: Double)

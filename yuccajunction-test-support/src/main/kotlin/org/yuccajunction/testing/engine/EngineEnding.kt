package org.yuccajunction.testing.engine

import kotlinx.serialization.Serializable

/** How a request ended at the model engine stand-in. */
@Serializable
public enum class EngineEnding { RUNNING, COMPLETED, CANCELLED, FAILED, REFUSED, BROKEN }

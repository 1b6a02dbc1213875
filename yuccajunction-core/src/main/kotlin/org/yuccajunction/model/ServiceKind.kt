package org.yuccajunction.model

import kotlinx.serialization.Serializable

/** Tells model engines from plain applications. */
@Serializable
public enum class ServiceKind { MODEL, APPLICATION }

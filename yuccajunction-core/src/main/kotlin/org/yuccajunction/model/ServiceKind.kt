package org.yuccajunction.model

import kotlinx.serialization.Serializable

/** The kind of a service: a model engine or a plain application. */
@Serializable
public enum class ServiceKind { MODEL, APPLICATION }

package org.yuccajunction.model

import kotlinx.serialization.Serializable

/** The role of an instance: an entry of this system, or a backend server with a model or an application. */
@Serializable
public enum class InstanceRole { ENTRY, BACKEND_SERVER }

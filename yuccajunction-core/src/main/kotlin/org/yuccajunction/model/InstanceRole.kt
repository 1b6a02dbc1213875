package org.yuccajunction.model

import kotlinx.serialization.Serializable

/** Tells the system's own instances from those that run models and applications. */
@Serializable
public enum class InstanceRole { ENTRY, BACKEND_SERVER }

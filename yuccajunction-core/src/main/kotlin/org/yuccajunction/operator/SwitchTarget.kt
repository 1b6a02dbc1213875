package org.yuccajunction.operator

import kotlinx.serialization.Serializable

/** The kinds of targets that an operator can take out of service without editing a section. */
@Serializable
public enum class SwitchTarget { AVAILABILITY_ZONE, ENTRY, BACKEND_SERVER }

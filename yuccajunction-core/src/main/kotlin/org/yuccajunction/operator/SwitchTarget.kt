package org.yuccajunction.operator

import kotlinx.serialization.Serializable

/** What operators can take out of service without editing a section themselves. */
@Serializable
public enum class SwitchTarget { AVAILABILITY_ZONE, ENTRY, BACKEND_SERVER }

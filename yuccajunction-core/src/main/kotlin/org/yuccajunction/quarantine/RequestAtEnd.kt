package org.yuccajunction.quarantine

import kotlinx.serialization.Serializable

/**
 * One request that a backend server had begun, or was to begin, when it ended.
 *
 * The binary form goes by position: the order and the types of the properties must not change.
 *
 * @property startAgeMillis milliseconds since the request was sent to the server
 */
@Serializable
public data class RequestAtEnd(public val request: Suspect, public val startAgeMillis: Long)

package org.yuccajunction.quarantine

import kotlinx.serialization.Serializable

/**
 * The end of one incarnation of a backend server, as one entry has observed it.
 *
 * The binary form goes by position: the order and the types of the properties must not change.
 *
 * @property incarnation identity of the incarnation, see [org.yuccajunction.fleet.BackendServer.incarnation]
 * @property ageMillis milliseconds since the end
 * @property parts prompt parts of the requests that the entry had open there without an event
 * @property requests the requests that the entry had open there
 */
@Serializable
public data class ServerEndReport(
    public val incarnation: String,
    public val ageMillis: Long,
    public val parts: List<Suspect> = emptyList(),
    public val requests: List<RequestAtEnd> = emptyList(),
)

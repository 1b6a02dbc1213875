package org.yuccajunction.port

import kotlinx.serialization.Serializable
import org.yuccajunction.model.ServiceVersion

/** A declarative order to a backend server; a repeated order has no further effect. */
@Serializable
public sealed interface ServerOrder {
    /** Orders the server to load and serve [version]. */
    @Serializable
    public data class LoadVersion(public val version: ServiceVersion) : ServerOrder

    /** Orders the server to take [role], such as `prefill` or `decode`. */
    @Serializable
    public data class TakeRole(public val role: String) : ServerOrder
}

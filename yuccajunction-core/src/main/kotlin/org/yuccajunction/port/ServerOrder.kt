package org.yuccajunction.port

import kotlinx.serialization.Serializable
import org.yuccajunction.model.ServiceVersion

/** A declarative order to a backend server; giving it twice changes nothing. */
@Serializable
public sealed interface ServerOrder {
    /** Load and serve [version]. */
    @Serializable
    public data class LoadVersion(public val version: ServiceVersion) : ServerOrder

    /** Take the role named [role], such as `prefill` or `decode`. */
    @Serializable
    public data class TakeRole(public val role: String) : ServerOrder
}

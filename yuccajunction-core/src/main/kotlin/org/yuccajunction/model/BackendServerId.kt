package org.yuccajunction.model

import kotlinx.serialization.Serializable

/** The id of a backend server: one replica of one version of a service, or a peer entry that stands in for one. */
@JvmInline
@Serializable
public value class BackendServerId(public val value: String) {
    init {
        require(value.isNotBlank()) { "backend server id is blank: \"$value\"" }
    }

    /** Whether this is a peer entry through which requests are forwarded; no platform has a slash in its ids. */
    public val isPeerEntry: Boolean get() = value.startsWith(PEER_ENTRY_PREFIX)

    override fun toString(): String = value

    public companion object {
        private const val PEER_ENTRY_PREFIX = "entry/"

        /** Returns the id of the peer entry [name]. */
        public fun ofPeerEntry(name: String): BackendServerId = BackendServerId(PEER_ENTRY_PREFIX + name)
    }
}

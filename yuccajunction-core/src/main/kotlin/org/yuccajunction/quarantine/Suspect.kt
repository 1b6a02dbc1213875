package org.yuccajunction.quarantine

import kotlinx.serialization.Serializable
import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.routing.RendezvousHash

/**
 * What may be to blame for the end of backend servers: a part of prompts or one whole request.
 *
 * @property value hash of the prompt part or fingerprint of the request, which are told apart by their sign
 */
@JvmInline
@Serializable
public value class Suspect(public val value: Long) {
    /** Whether this is a whole request. */
    public val isRequest: Boolean get() = value < 0

    override fun toString(): String = java.lang.Long.toHexString(value)

    public companion object {
        /** Returns [request] as a whole, which is the same each time that its caller sends it. */
        public fun requestOf(request: ForwardRequest): Suspect = Suspect(request.fingerprint.value or Long.MIN_VALUE)

        /** Returns the parts of the prompt of [request] but for the last, which belongs to the request alone. */
        public fun partsOf(request: ForwardRequest): List<Suspect> =
            request.promptParts.dropLast(1).map {
                Suspect(RendezvousHash.hash("${request.service}/${it.id}") and Long.MAX_VALUE)
            }
    }
}

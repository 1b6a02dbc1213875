package org.yuccajunction.port

import arrow.core.Either
import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.forward.ForwardConfiguration
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.MonotonicTime

/** Reads what the platform's store holds for this system; each failure says what can't be read and why. */
public interface FleetSource {
    /** Kind of the objects that hold the configuration. */
    public val configurationKind: String

    /** Kind of the registrations of backend servers. */
    public val serverKind: String

    /** Kind of the orders to keep an availability zone free of requests. */
    public val drainKind: String

    /** Reads a configuration. */
    public fun decodeConfiguration(stored: StoredObject): Either<String, ForwardConfiguration>

    /** Reads a server's registration, which arrived at [now]. */
    public fun decodeServer(stored: StoredObject, now: MonotonicTime): Either<String, BackendServer>

    /** Reads which availability zone is to be kept free. */
    public fun decodeDrainedZone(stored: StoredObject): Either<String, AvailabilityZone>
}

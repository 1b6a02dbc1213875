package org.yuccajunction.port

import arrow.core.Either
import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.forward.ForwardConfiguration
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.rollout.RolloutOrder

/** Decodes the objects of the platform's store; a left value says which part is unreadable and why. */
public interface FleetSource {
    /** The kind of the objects that hold the configuration. */
    public val configurationKind: String

    /** The kind of the registrations of backend servers. */
    public val serverKind: String

    /** The kind of the orders to drain an availability zone. */
    public val drainKind: String

    /** The kind of the orders to move a service to another version. */
    public val rolloutKind: String

    /** Decodes a configuration. */
    public fun decodeConfiguration(stored: StoredObject): Either<String, ForwardConfiguration>

    /** Decodes the registration of a backend server, received at [now]. */
    public fun decodeServer(stored: StoredObject, now: MonotonicTime): Either<String, BackendServer>

    /** Decodes the order to move a service to another version. */
    public fun decodeRollout(stored: StoredObject): Either<String, RolloutOrder>

    /** Decodes the availability zone that an order drains. */
    public fun decodeDrainedZone(stored: StoredObject): Either<String, AvailabilityZone>
}

package org.yuccajunction.entry.serving

import io.micrometer.core.instrument.MeterRegistry
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.routing.AttemptObservation
import org.yuccajunction.routing.OpenRequests
import org.yuccajunction.routing.RoutingTable
import org.yuccajunction.routing.ServerChooser
import kotlin.random.Random

/**
 * The parts of the entry that the serving of callers depends on.
 *
 * @property self this entry
 * @property callerEndpoint address at which callers reach this entry
 * @property table returns the newest routing table
 * @property observe passes the observation of an ended attempt to the control thread
 * @property random random source; must be safe for use from several threads
 */
public class ServingContext(
    public val self: EntryIncarnation,
    public val callerEndpoint: Endpoint,
    public val table: () -> RoutingTable,
    public val chooser: ServerChooser,
    public val openRequests: OpenRequests,
    public val ports: ServingPorts,
    public val observe: (AttemptObservation) -> Unit,
    public val clock: () -> MonotonicTime,
    public val random: Random,
    public val limits: ServingLimits,
    public val meters: MeterRegistry,
)

package org.yuccajunction.load.slope

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.yuccajunction.control.Blackboard
import org.yuccajunction.document.AvailabilityZoneSection
import org.yuccajunction.document.Deployment
import org.yuccajunction.document.ModelSection
import org.yuccajunction.document.TrafficRules
import org.yuccajunction.document.WorkspaceRule
import org.yuccajunction.membership.EntryState
import org.yuccajunction.membership.MembershipState
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.InstanceRole
import org.yuccajunction.model.LoadReport
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.PlatformInstance
import org.yuccajunction.model.Revision
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion
import org.yuccajunction.model.WorkspaceId

/** A deterministic fleet of a given size with generated names. */
public class SampleFleet(private val size: FleetSize) {
    /** The configuration of the fleet. */
    public val deployment: Deployment =
        Deployment(
            revision = Revision(1),
            models = List(size.services) { number ->
                ModelSection(service(number), VERSION, size.servers / size.services, requestLimit = REQUEST_LIMIT)
            },
            availabilityZones = List(ZONES) { AvailabilityZoneSection(zone(it), "region-${it % REGIONS}") },
            trafficRules = TrafficRules(List(WORKSPACES) { workspace(it) }),
        )

    /** The instances of the fleet, as the platform lists them. */
    public val instances: PersistentList<PlatformInstance> =
        (List(size.entries, ::entryInstance) + List(size.servers, ::serverInstance)).toPersistentList()

    /** Returns the state of entry 0 before the entry receives any event. */
    public fun initialBlackboard(): Blackboard =
        Blackboard(MonotonicTime.ZERO, MembershipState(entryState(0)), deployment)

    /** Returns the state that entry [number] sends in heartbeats. */
    public fun entryState(number: Int): EntryState =
        EntryState(
            entry = EntryIncarnation(entryId(number), incarnation = INCARNATION),
            stateVersion = 1,
            availabilityZone = zone(number % ZONES),
            callerEndpoint = endpoint(number, CALLER_PORT),
            peerEndpoint = endpoint(number, PEER_PORT),
            revision = Revision(1),
        )

    /** Returns the load report of a backend server after its cold start. */
    public fun report(): LoadReport = LoadReport(incarnation = "1", running = 4)

    /** Returns the id of backend server [number]. */
    public fun serverId(number: Int): BackendServerId = BackendServerId("server-$number")

    private fun entryInstance(number: Int) =
        PlatformInstance(
            id = entryId(number),
            role = InstanceRole.ENTRY,
            availabilityZone = zone(number % ZONES),
            endpoint = endpoint(number, CALLER_PORT),
            peerEndpoint = endpoint(number, PEER_PORT),
        )

    private fun serverInstance(number: Int) =
        PlatformInstance(
            id = InstanceId(serverId(number).value),
            role = InstanceRole.BACKEND_SERVER,
            availabilityZone = zone(number % ZONES),
            endpoint = endpoint(number, SERVER_PORT),
            service = service(number % size.services),
            version = VERSION,
        )

    private fun entryId(number: Int) = InstanceId("entry-$number")

    private fun service(number: Int) = ServiceName("model-$number")

    private fun zone(number: Int) = AvailabilityZone("zone-$number")

    private fun workspace(number: Int) =
        WorkspaceRule(WorkspaceId("workspace-$number"), listOf(number.toString().padStart(KEY_HASH_DIGITS, '0')))

    private fun endpoint(number: Int, port: Int) =
        Endpoint("10.${port % OCTET_VALUES}.${number / OCTET_VALUES}.${number % OCTET_VALUES}", port)

    private companion object {
        const val ZONES = 34
        const val REGIONS = 9
        const val WORKSPACES = 200
        const val REQUEST_LIMIT = 16
        const val INCARNATION = 1_800_000_000_000
        const val CALLER_PORT = 8_080
        const val PEER_PORT = 8_081
        const val SERVER_PORT = 9_000
        const val OCTET_VALUES = 250
        const val KEY_HASH_DIGITS = 64
        val VERSION = ServiceVersion("v1")
    }
}

package org.yuccajunction.control

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.yuccajunction.document.Deployment
import org.yuccajunction.document.ModelSection
import org.yuccajunction.document.TrafficRules
import org.yuccajunction.membership.EntryState
import org.yuccajunction.membership.MembershipState
import org.yuccajunction.membership.PeerRecord
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.InstanceRole
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.PlatformInstance
import org.yuccajunction.model.Revision
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion
import org.yuccajunction.routing.ServerRecord
import org.yuccajunction.routing.ServerState
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class DrainTest {
    private val server = BackendServerId("server-1")

    @Test
    fun `a drained backend server is leaving at the next tick and starts cold when it returns`() {
        val drained = tick(board(TrafficRules(drainedBackendServers = listOf(server))))
        assertEquals(ServerState.LEAVING, drained.servers.getValue(server).state)
        val returned = tick(drained.copy(deployment = deployment(TrafficRules())))
        assertEquals(ServerState.COLD, returned.servers.getValue(server).state)
    }

    @Test
    fun `a drained entry is named to no caller`() {
        val rules = TrafficRules(drainedEntries = listOf(InstanceId("entry-2")))
        assertEquals(listOf("entry-1", "entry-2"), named(TrafficRules()))
        assertEquals(listOf("entry-1"), named(rules))
    }

    private fun named(rules: TrafficRules) = routingTable(board(rules)).entries.map { it.entry.instance.value }

    private fun tick(board: Blackboard) = ServerController().handle(board, ControlEvent.Ticked, Random(1)).board

    private fun board(rules: TrafficRules): Blackboard {
        val peer = entry("entry-2")
        val instance = PlatformInstance(
            id = InstanceId("server-1"),
            role = InstanceRole.BACKEND_SERVER,
            availabilityZone = zone,
            endpoint = Endpoint("10.0.0.9", 1),
            service = model.name,
            version = model.version,
        )
        return Blackboard(
            now = MonotonicTime.ZERO,
            membership = MembershipState(
                entry("entry-1"),
                persistentMapOf(peer.entry.instance to PeerRecord(peer, MonotonicTime.ZERO)),
                listedInstances = persistentListOf(instance),
            ),
            deployment = deployment(rules),
            servers = persistentMapOf(server to ServerRecord(instance, ServerState.READY, MonotonicTime.ZERO)),
        )
    }

    private fun deployment(rules: TrafficRules) =
        Deployment(Revision(1), models = listOf(model), trafficRules = rules)

    private fun entry(id: String) =
        EntryState(
            entry = EntryIncarnation(InstanceId(id), 1),
            stateVersion = 1,
            availabilityZone = zone,
            callerEndpoint = Endpoint("10.0.0.1", 1),
            peerEndpoint = Endpoint("10.0.0.1", 2),
            revision = Revision(1),
        )

    private companion object {
        val zone = AvailabilityZone("a")
        val model = ModelSection(ServiceName("talker"), ServiceVersion("v1"), replicas = 1, requestLimit = 4)
    }
}

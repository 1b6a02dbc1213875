package org.yuccajunction.traffic

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.RequestClass
import org.yuccajunction.model.RequestId
import org.yuccajunction.model.ServiceKind
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion
import org.yuccajunction.model.WorkspaceId
import org.yuccajunction.routing.OpenRequests
import org.yuccajunction.routing.RoutingTable
import org.yuccajunction.routing.ServerRoute
import org.yuccajunction.routing.ServerState
import org.yuccajunction.routing.ServiceRoute
import kotlin.random.Random

/** One service with a few servers, and requests for it. */
internal class TrafficFixture(kind: ServiceKind, servers: Int, seed: Int = 1) {
    val openRequests = OpenRequests()
    var table = RoutingTable(
        availabilityZone = AvailabilityZone("south-a"),
        services = persistentMapOf(SERVICE to route(kind, servers)),
    )
    val environment =
        TrafficEnvironment(
            { table },
            LeastOpenServerChooser(),
            openRequests,
            RetryBudget(MonotonicTime.ZERO),
            Random(seed),
        )
    private val id = RequestId(EntryIncarnation(InstanceId("entry-1"), 1), 0, "r")

    fun stream(deadline: MonotonicTime? = null, tokenLimit: Int = Int.MAX_VALUE) =
        StreamMachine(
            StreamRequest(id, WORKSPACE, RequestClass.DRAFT, SERVICE, "route", 0, 10, 0, deadline, tokenLimit),
            environment,
        )

    fun call(idempotent: Boolean) =
        CallMachine(CallRequest(id, WORKSPACE, RequestClass.ORDER, SERVICE, "route", idempotent), environment)

    /** Announces that [server] leaves. */
    fun announceDraining(server: BackendServerId) {
        val route = table.services.getValue(SERVICE)
        val servers = route.servers.map { if (it.id == server) it.copy(state = ServerState.LEAVING) else it }
        table = table.copy(services = table.services.put(SERVICE, route.copy(servers = servers.toPersistentList())))
    }

    private fun route(kind: ServiceKind, servers: Int) =
        ServiceRoute(
            name = SERVICE,
            kind = kind,
            latencyTargetMillis = 600,
            betweenTokensTargetMillis = 40,
            servers = List(servers) { server(it) }.toPersistentList(),
        )

    private fun server(number: Int) =
        ServerRoute(
            id = BackendServerId("server-$number"),
            endpoint = Endpoint("10.0.0.$number", 80),
            availabilityZone = AvailabilityZone(if (number % 2 == 0) "south-a" else "south-b"),
            version = ServiceVersion("v1"),
            state = ServerState.READY,
            permits = 4,
            limit = 4,
        )

    companion object {
        val SERVICE = ServiceName("service")
        val WORKSPACE = WorkspaceId("magnolia")
    }
}

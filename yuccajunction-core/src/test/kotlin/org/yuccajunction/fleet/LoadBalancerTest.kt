package org.yuccajunction.fleet

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.yuccajunction.forward.AttemptEnd
import org.yuccajunction.forward.Destination
import org.yuccajunction.forward.EngineCapacity
import org.yuccajunction.forward.ForwardConfiguration
import org.yuccajunction.forward.ForwardFixture
import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.forward.ForwardRoute
import org.yuccajunction.forward.ForwardService
import org.yuccajunction.forward.PromptPart
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.Revision
import org.yuccajunction.model.ServiceName
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LoadBalancerTest {
    private val service = ForwardService(ServiceName("service"), 400, engine = EngineCapacity(64, 444_000))
    private var now = MonotonicTime.ZERO
    private var own = 0

    private fun snapshot(servers: List<BackendServer>): FleetSnapshot {
        val configuration =
            ForwardConfiguration(Revision(1), persistentListOf(), persistentMapOf(service.name to service))
        return FleetSnapshot(
            configuration = configuration,
            servers = servers.associateBy { it.id }.toPersistentMap(),
            entries = persistentListOf("entry"),
        )
    }

    private fun balancer(servers: List<BackendServer>, entry: String = "entry", seed: Int = 1): LoadBalancer {
        val balancer = LoadBalancer(entry, AvailabilityZone("zone-a"), Random(seed))
        balancer.update(snapshot(servers), now)
        return balancer
    }

    private fun request(part: String = "shared", isStream: Boolean = true): ForwardRequest {
        val route =
            ForwardRoute(
                name = "route",
                host = "host",
                pathPrefix = "/",
                destinations = persistentListOf(Destination(service.name)),
                isStream = isStream,
                mayRepeat = true,
                timeLimit = 8.seconds,
                latencyTarget = 800.milliseconds,
            )
        return ForwardRequest(
            id = "id",
            route = route,
            service = service.name,
            workspace = null,
            rank = 0,
            receivedAt = now,
            deadline = now + 8.seconds,
            promptTokens = 10_000,
            promptParts = persistentListOf(PromptPart(part, 5_000), PromptPart("own-${own++}", 5_000)),
        )
    }

    private fun chosen(balancer: LoadBalancer, request: ForwardRequest): BackendServer =
        assertIs<ServerChoice.Use>(balancer.choose(ServerQuery(request), now)).server

    private val servers = (1..8).map { ForwardFixture.server("server-$it") }

    @Test
    fun `all entries send prompts with a shared prefix to the same server`() {
        val chosenServers = (1..8).map { chosen(balancer(servers, "entry-$it", seed = it), request()).id }
        assertEquals(1, chosenServers.toSet().size)
    }

    @Test
    fun `requests with a hot prompt spread over several servers once the preferred one is loaded`() {
        val balancer = balancer(servers)
        val used = HashSet<String>()
        repeat(40) {
            val request = request()
            val server = chosen(balancer, request)
            balancer.beginAttempt(server, request, now)
            used += server.id.value
        }
        assertTrue(used.size >= 4, "servers used: $used")
    }

    @Test
    fun `an unreachable server is not chosen again at once`() {
        val balancer = balancer(servers)
        val request = request()
        val first = chosen(balancer, request)
        balancer.endAttempt(balancer.beginAttempt(first, request, now), AttemptEnd.UNREACHABLE, now)
        assertNotEquals(first.id, chosen(balancer, request).id)
    }

    @Test
    fun `a suspected server is chosen if there is no other`() {
        val only = servers.take(1)
        val balancer = balancer(only)
        balancer.endAttempt(balancer.beginAttempt(only.first(), request(), now), AttemptEnd.SILENT, now)
        assertEquals(only.first().id, chosen(balancer, request()).id)
    }

    @Test
    fun `a server that fails half of its calls gets few requests`() {
        val balancer = balancer(servers.take(4))
        val failing = servers.first()
        val counts = HashMap<String, Int>()
        repeat(400) { index ->
            now += 20.milliseconds
            val request = request(isStream = false)
            val server = chosen(balancer, request)
            counts.merge(server.id.value, 1, Int::plus)
            val ticket = balancer.beginAttempt(server, request, now)
            val fails = server.id == failing.id && index % 2 == 0
            balancer.endAttempt(ticket, if (fails) AttemptEnd.FAILED else null, now)
        }
        assertTrue((counts[failing.id.value] ?: 0) < 60, "requests by server: $counts")
    }

    @Test
    fun `servers in a drained availability zone and draining servers get no requests`() {
        val snapshot =
            snapshot(listOf(ForwardFixture.server("a", "zone-a"), ForwardFixture.server("b", "zone-b")))
                .let { it.copy(drainedAvailabilityZones = it.drainedAvailabilityZones.add(AvailabilityZone("zone-a"))) }
        val balancer = LoadBalancer("entry", AvailabilityZone("zone-a"), Random(1))
        balancer.update(snapshot, now)
        assertEquals("b", chosen(balancer, request()).id.value)
        balancer.update(
            snapshot.copy(
                servers = snapshot.servers.mapValues {
                    it.value.copy(isDraining = true)
                }.toPersistentMap(),
            ),
            now,
        )
        assertIs<ServerChoice.Refuse>(balancer.choose(ServerQuery(request()), now))
    }

    @Test
    fun `the load of a server that restarts under the same name begins empty`() {
        val balancer = balancer(servers)
        val request = request()
        val first = servers.first().copy(startedAtMillis = 1)
        balancer.update(snapshot(listOf(first)), now)
        balancer.beginAttempt(first, request, now)
        balancer.update(snapshot(listOf(first.copy(startedAtMillis = 2))), now)
        val ticket = balancer.beginAttempt(first, request, now)
        balancer.endAttempt(ticket, null, now)
        assertEquals(first.id, chosen(balancer, request).id)
    }
}

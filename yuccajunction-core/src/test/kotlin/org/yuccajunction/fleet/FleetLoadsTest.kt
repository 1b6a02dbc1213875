package org.yuccajunction.fleet

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.yuccajunction.forward.AttemptEnd
import org.yuccajunction.forward.Destination
import org.yuccajunction.forward.EngineShape
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

class FleetLoadsTest {
    private val service = ForwardService(ServiceName("service"), 400, engine = EngineShape(64, 444_000))
    private var now = MonotonicTime.ZERO
    private var own = 0

    private fun table(servers: List<BackendServer>): FleetTable {
        val configuration =
            ForwardConfiguration(Revision(1), persistentListOf(), persistentMapOf(service.name to service))
        return FleetTable(
            configuration = configuration,
            servers = servers.associateBy { it.id }.toPersistentMap(),
            entries = persistentListOf("entry"),
        )
    }

    private fun loads(servers: List<BackendServer>, entry: String = "entry", seed: Int = 1): FleetLoads {
        val loads = FleetLoads(entry, AvailabilityZone("zone-a"), Random(seed))
        loads.update(table(servers), now)
        return loads
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
                target = 800.milliseconds,
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

    private fun chosen(loads: FleetLoads, request: ForwardRequest): BackendServer =
        assertIs<ServerChoice.Use>(loads.choose(ServerQuery(request), now)).server

    private val servers = (1..8).map { ForwardFixture.server("server-$it") }

    @Test
    fun `prompts with a shared start go to the same server from every entry`() {
        val homes = (1..8).map { chosen(loads(servers, "entry-$it", seed = it), request()).id }
        assertEquals(1, homes.toSet().size)
    }

    @Test
    fun `a hot prompt spreads once its home is loaded`() {
        val loads = loads(servers)
        val used = HashSet<String>()
        repeat(40) {
            val request = request()
            val server = chosen(loads, request)
            loads.began(server, request, now)
            used += server.id.value
        }
        assertTrue(used.size >= 4, "$used")
    }

    @Test
    fun `a server that can't be reached is left alone for a while`() {
        val loads = loads(servers)
        val request = request()
        val home = chosen(loads, request)
        loads.ended(loads.began(home, request, now), AttemptEnd.UNREACHABLE, now)
        assertNotEquals(home.id, chosen(loads, request).id)
    }

    @Test
    fun `a suspected server is used where there is no other`() {
        val only = servers.take(1)
        val loads = loads(only)
        loads.ended(loads.began(only.first(), request(), now), AttemptEnd.SILENT, now)
        assertEquals(only.first().id, chosen(loads, request()).id)
    }

    @Test
    fun `a server that fails a part of its calls gets few more`() {
        val loads = loads(servers.take(4))
        val grey = servers.first()
        val counts = HashMap<String, Int>()
        repeat(400) { index ->
            now += 20.milliseconds
            val request = request(isStream = false)
            val server = chosen(loads, request)
            counts.merge(server.id.value, 1, Int::plus)
            val ticket = loads.began(server, request, now)
            val fails = server.id == grey.id && index % 2 == 0
            loads.ended(ticket, if (fails) AttemptEnd.FAILED else null, now)
        }
        assertTrue((counts[grey.id.value] ?: 0) < 60, "$counts")
    }

    @Test
    fun `servers in a drained zone and leaving servers get nothing`() {
        val table =
            table(listOf(ForwardFixture.server("a", "zone-a"), ForwardFixture.server("b", "zone-b")))
                .let { it.copy(drainedZones = it.drainedZones.add(AvailabilityZone("zone-a"))) }
        val loads = FleetLoads("entry", AvailabilityZone("zone-a"), Random(1))
        loads.update(table, now)
        assertEquals("b", chosen(loads, request()).id.value)
        loads.update(
            table.copy(
                servers = table.servers.mapValues {
                    it.value.copy(isLeaving = true)
                }.toPersistentMap(),
            ),
            now,
        )
        assertIs<ServerChoice.Refuse>(loads.choose(ServerQuery(request()), now))
    }

    @Test
    fun `a server that started anew under its name holds nothing`() {
        val loads = loads(servers)
        val request = request()
        val first = servers.first().copy(startedAtMillis = 1)
        loads.update(table(listOf(first)), now)
        loads.began(first, request, now)
        loads.update(table(listOf(first.copy(startedAtMillis = 2))), now)
        val ticket = loads.began(first, request, now)
        loads.ended(ticket, null, now)
        assertEquals(first.id, chosen(loads, request).id)
    }
}

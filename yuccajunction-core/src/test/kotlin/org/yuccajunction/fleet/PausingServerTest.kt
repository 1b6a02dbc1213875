package org.yuccajunction.fleet

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.yuccajunction.forward.AttemptEnd
import org.yuccajunction.forward.ForwardConfiguration
import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.forward.ForwardService
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.Revision
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Many requests at once before servers that reject some and name a pause of another length each time. */
class PausingServerTest {
    private class Fleet(seed: Int, entryCount: Int, private val serverCount: Int) {
        private val random = Random(seed)
        private val time = SimulatedTime(random)
        private val names = List(entryCount) { "entry-$it" }
        private val balancers = names.map { LoadBalancer(it, AvailabilityZone("zone"), Random(random.nextInt())) }
        private val arrivals = HashMap<Pair<Int, Int>, ArrayList<Duration>>()
        private val pauses = ArrayList<Pause>()
        private var requestCount = 0

        private class Pause(val link: Pair<Int, Int>, val from: Duration, val until: Duration)

        init {
            publish(isFlawed = false)
        }

        fun run(until: Duration, perSecond: Double) {
            time.repeatAtRandom(until, perSecond) { send(random.nextInt(names.size), emptySet()) }
            time.repeatAtRandom(until, perSecond = 0.3) {
                publish(isFlawed = true)
                time.after(300.milliseconds) { publish(isFlawed = false) }
            }
            time.runUntil(until)
        }

        /** Returns the largest number of requests in one pause, from half a second after its rejection to its end. */
        fun worstPause(): Int =
            pauses.maxOf { pause ->
                arrivals[pause.link].orEmpty().count { it > pause.from + UNDER_WAY_TIME && it <= pause.until }
            }

        /** Lists the servers; a flawed listing lacks one server, and the time of the start of another. */
        private fun publish(isFlawed: Boolean) {
            val configuration =
                ForwardConfiguration(
                    Revision(1),
                    persistentListOf(),
                    persistentMapOf(CRASHING_FLEET_SERVICE to ForwardService(CRASHING_FLEET_SERVICE, 400)),
                )
            val absent = random.nextInt(serverCount)
            val unstarted = random.nextInt(serverCount)
            val listed =
                List(serverCount, ::server)
                    .filterIndexed { number, _ -> !isFlawed || number != absent }
                    .map { if (isFlawed && it == server(unstarted)) it.copy(startedAtMillis = null) else it }
            val snapshot =
                FleetSnapshot(
                    configuration,
                    listed.associateBy {
                        it.id
                    }.toPersistentMap(),
                    entries = names.toPersistentList(),
                )
            balancers.forEach { it.update(snapshot, time.clock()) }
        }

        private fun server(number: Int) =
            BackendServer(
                BackendServerId("server-$number"),
                CRASHING_FLEET_SERVICE,
                Endpoint("host", number + 1),
                AvailabilityZone("zone"),
                slots = 64,
                startedAtMillis = 1_000L + number,
            )

        private fun send(entry: Int, excluded: Set<BackendServerId>) {
            val query = ServerQuery(request(), excluded)
            val choice = balancers[entry].choose(query, time.clock())
            if (choice !is ServerChoice.Use) return
            val ticket = balancers[entry].beginAttempt(choice.server, query.request, time.clock())
            val number = choice.server.endpoint.port - 1
            time.after(random.nextInt(1, 60).milliseconds) {
                arrivals.getOrPut(number to entry) { ArrayList() } += time.now
                val isRejected = number < serverCount / 2 && random.nextDouble() < REJECTED_FRACTION
                if (isRejected) reject(entry, choice.server, ticket, excluded) else answer(entry, ticket)
            }
        }

        private fun reject(entry: Int, server: BackendServer, ticket: AttemptTicket, excluded: Set<BackendServerId>) {
            val pause = listOf(0.7, 1.0, 1.5, 2.5, 4.0, 6.0).random(random).seconds
            pauses += Pause(server.endpoint.port - 1 to entry, time.now, time.now + pause)
            time.after(random.nextInt(1, 120).milliseconds) {
                balancers[entry].notices.recordPause(server, pause, time.clock())
                balancers[entry].endAttempt(ticket, AttemptEnd.REJECTED, time.clock())
                if (excluded.isEmpty()) send(entry, setOf(server.id))
            }
        }

        private fun answer(entry: Int, ticket: AttemptTicket) =
            time.after(random.nextInt(20, 400).milliseconds) {
                balancers[entry].recordFirstAnswer(ticket, time.clock())
                balancers[entry].endAttempt(ticket, end = null, time.clock())
            }

        private fun request(): ForwardRequest {
            requestCount += 1
            return ForwardRequest(
                id = "request-$requestCount",
                route = WorkKind.SAFE_CALL.route,
                service = CRASHING_FLEET_SERVICE,
                workspace = null,
                rank = 0,
                receivedAt = time.clock(),
                deadline = time.clock() + 1.seconds,
            )
        }

        private companion object {
            const val REJECTED_FRACTION = 0.5
            val UNDER_WAY_TIME = 500.milliseconds
        }
    }

    /** Guards against a pause that ends early because of a later, shorter one, or a flawed listing. */
    @Test
    fun `a server that rejects with pauses of different lengths gets at most two requests in any of them`() {
        for ((entries, servers, perSecond) in listOf(Triple(2, 8, 200.0), Triple(9, 8, 400.0), Triple(95, 36, 900.0))) {
            for (seed in 1..SEEDS) {
                val fleet = Fleet(seed, entries, servers)
                fleet.run(20.seconds, perSecond)
                assertEquals(true, fleet.worstPause() <= 2, "$entries entries, seed $seed: ${fleet.worstPause()}")
            }
        }
    }

    private val server =
        BackendServer(
            BackendServerId("server"),
            CRASHING_FLEET_SERVICE,
            Endpoint("host", 1),
            AvailabilityZone("zone"),
            startedAtMillis = 5,
        )
    private val start = MonotonicTime.ZERO + 100.seconds

    @Test
    fun `a pause that arrives later may only move the end of an earlier one back`() {
        val notices = ServerNotices()
        notices.recordPause(server, 3.seconds, start)
        notices.recordPause(server, 0.25.seconds, start + 100.milliseconds)
        notices.recordPause(server, Duration.ZERO, start + 100.milliseconds)
        assertEquals(2.8.seconds, notices.pauseLeft(server, start + 200.milliseconds))
        notices.recordPause(server, 4.seconds, start + 200.milliseconds)
        assertEquals(4.seconds, notices.pauseLeft(server, start + 200.milliseconds))
    }

    @Test
    fun `a pause of any length holds to its end`() {
        val notices = ServerNotices()
        notices.recordPause(server, 300.seconds, start)
        assertEquals(1.seconds, notices.pauseLeft(server, start + 299.seconds))
        notices.recordPause(server, Duration.INFINITE, start)
        assertEquals(false, notices.permits(server, start, start + 1_000.seconds))
    }

    @Test
    fun `a pause and a notice of leaving outlast a listing without the server or the time of its start`() {
        val notices = ServerNotices()
        notices.recordPause(server, 3.seconds, start)
        notices.recordLeaving(server)
        notices.retainServers(emptyList(), start)
        val unstarted = server.copy(startedAtMillis = null)
        notices.retainServers(listOf(unstarted), start)
        assertEquals(2.seconds, notices.pauseLeft(unstarted, start + 1.seconds))
        assertEquals(true, notices.isLeaving(unstarted))
        assertEquals(2.seconds, notices.pauseLeft(server, start + 1.seconds))
        assertEquals(true, notices.isLeaving(server))
    }

    @Test
    fun `the next incarnation of a server begins without pauses and notices`() {
        val notices = ServerNotices()
        notices.recordPause(server, 3.seconds, start)
        notices.recordLeaving(server)
        val restarted = server.copy(startedAtMillis = 6)
        assertEquals(null, notices.pauseLeft(restarted, start + 1.seconds))
        assertEquals(false, notices.isLeaving(restarted))
    }

    private companion object {
        const val SEEDS = 3
    }
}

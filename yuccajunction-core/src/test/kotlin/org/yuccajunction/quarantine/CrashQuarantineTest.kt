package org.yuccajunction.quarantine

import kotlinx.collections.immutable.persistentListOf
import org.yuccajunction.forward.Destination
import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.forward.ForwardRoute
import org.yuccajunction.forward.PromptPart
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class CrashQuarantineTest {
    private val names = List(9) { "entry-$it" }
    private val random = Random(1)
    private var now = MonotonicTime.ZERO + 1.hours
    private var entries = names.map { CrashQuarantine(it) }
    private val stored = HashMap<Suspect, Pair<SuspectReport, MonotonicTime>>()
    private var ends = 0

    private fun request(fingerprint: Long, parts: List<String> = emptyList()) =
        ForwardRequest(
            id = "request-${random.nextLong()}",
            route = ROUTE,
            service = SERVICE,
            workspace = null,
            rank = 0,
            receivedAt = now,
            deadline = now + 1.seconds,
            promptParts = persistentListOf<PromptPart>().addAll(parts.map { PromptPart(it, 100) }),
            fingerprint = lazyOf(fingerprint),
        )

    /** Sends [request] to a random entry; returns whether that entry let it execute. */
    private fun send(request: ForwardRequest): Boolean = entries.random(random).verdict(request, names, now) == SEND

    /** Lets a server end under [requests], which the same entry has sent there. */
    private fun endServerUnder(vararg requests: ForwardRequest) {
        val entry = entries.random(random)
        val startedAt = now
        now += 50.milliseconds
        ends += 1
        requests.forEach { entry.recordBreak("server-$ends", BrokenAttempt(it, startedAt, now)) }
        entry.recordServerEnd("server-$ends", now)
        exchange()
    }

    private fun exchange() {
        val reports = entries.map { it.report(now) }
        entries.forEach { entry -> reports.forEach { entry.recordPeer(it, now) } }
        for (change in entries.flatMap { it.takeUnstored(names, now) }) {
            val report = change.report
            if (report == null) stored.remove(change.suspect) else stored[change.suspect] = report to now
        }
    }

    private fun restartAll() {
        entries = names.map { CrashQuarantine(it) }
        val reports = stored.values.map { (report, at) ->
            report.copy(ageMillis = report.ageMillis + (now - at).inWholeMilliseconds)
        }
        entries.forEach { it.recordPeer(QuarantineReport(quarantined = reports), now) }
    }

    private fun playDay(comesEvery: Duration, restartsEvery: Duration) {
        val start = now
        var restartAt = now + restartsEvery
        while (now - start < 24.hours) {
            now += comesEvery
            if (now > restartAt) {
                restartAll()
                restartAt = now + restartsEvery
            }
            if (send(request(CRASHING))) endServerUnder(request(CRASHING))
            exchange()
        }
    }

    /** Guards against trials of a request that still ends servers, again and again in the course of a day. */
    @Test
    fun `a request that ends servers ends at most three more in the day after its third`() {
        playDay(comesEvery = 30.seconds, restartsEvery = 48.hours)
        assertEquals(6, ends)
    }

    /** Guards against entries that try such a request again after each restart. */
    @Test
    fun `a request that ends servers ends at most three more also if all entries restart every two hours`() {
        playDay(comesEvery = 30.seconds, restartsEvery = 2.hours)
        assertEquals(6, ends)
    }

    @Test
    fun `an answered trial releases a request everywhere and in the store`() {
        repeat(3) {
            endServerUnder(request(CRASHING))
            now += 1.seconds
        }
        entries.forEach { assertIs<QuarantineVerdict.Refuse>(it.verdict(request(CRASHING), names, now)) }
        exchange()
        assertEquals(1, stored.size)
        now += 11.minutes
        val trying = entries.single { it.verdict(request(CRASHING), names, now) == SEND }
        trying.recordAnswer(request(CRASHING), now + 100.milliseconds)
        now += 200.milliseconds
        exchange()
        exchange()
        assertEquals(names.size, entries.count { it.verdict(request(CRASHING), names, now) == SEND })
        assertEquals(0, stored.size)
    }

    @Test
    fun `what one request explains is not held against the parts of its prompt`() {
        repeat(4) {
            endServerUnder(request(CRASHING, listOf("first", "subject", "own")))
            now += 1.seconds
        }
        val other = request(fingerprint = 8, listOf("first", "subject", "other"))
        assertEquals(SEND, entries.first().verdict(other, names, now))
    }

    @Test
    fun `a request that two servers ended under waits for the evidence of the last end`() {
        endServerUnder(request(CRASHING))
        endServerUnder(request(CRASHING))
        assertEquals(QuarantineVerdict.Wait, entries.first().verdict(request(CRASHING), names, now))
        now += 500.milliseconds
        assertEquals(SEND, entries.first().verdict(request(CRASHING), names, now))
    }

    @Test
    fun `two requests at the same three ends are told apart by the fourth`() {
        repeat(3) {
            endServerUnder(request(CRASHING), request(fingerprint = 8))
            now += 1.seconds
        }
        assertEquals(SEND, entries.first().verdict(request(CRASHING), names, now))
        endServerUnder(request(CRASHING))
        now += 1.seconds
        assertIs<QuarantineVerdict.Refuse>(entries.first().verdict(request(CRASHING), names, now))
        assertEquals(SEND, entries.first().verdict(request(fingerprint = 8), names, now))
    }

    private companion object {
        const val CRASHING = 7L
        val SEND = QuarantineVerdict.Send
        val SERVICE = ServiceName("service")
        val ROUTE =
            ForwardRoute(
                name = "route",
                host = "host",
                pathPrefix = "/",
                destinations = persistentListOf(Destination(SERVICE)),
                isStream = false,
                mayRepeat = true,
                timeLimit = 1.seconds,
                latencyTarget = 200.milliseconds,
            )
    }
}

package org.yuccajunction.integration

import org.yuccajunction.model.Revision
import org.yuccajunction.testing.platform.PlatformFaults
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Checks that every entry applies the newest configuration when the object API or the peers can't be reached. */
class ConfigurationIT {
    private val running = deployment {
        entries(4)
        application("order-desk")
        entriesBehindProxy = true
        platformBehindProxy = true
    }

    @AfterTest
    fun end() = running.close()

    @Test
    fun `an entry cut off from the platform gets a change from its peers`() {
        checkNotNull(running.entries[3].platformRoute).partition()
        assertInForce(changed())
    }

    @Test
    fun `entries cut off from each other get a change from the object API`() {
        running.entries.forEach { checkNotNull(it.peerRoute).partition() }
        assertInForce(changed())
    }

    @Test
    fun `a change that one entry has read reaches all entries while the object API is down`() {
        val others = running.entries.drop(1)
        others.forEach { checkNotNull(it.platformRoute).partition() }
        val revision = changed()
        eventually(BOUND, { "revision $revision is not in force at the first entry" }) {
            running.entries[0].state().revision == revision
        }
        running.platform.setFaults(PlatformFaults(objectsUnavailable = true))
        others.forEach { checkNotNull(it.platformRoute).heal() }
        assertInForce(revision)
    }

    @Test
    fun `no entry returns to an older configuration after the object API was restored from a snapshot`() {
        running.platform.snapshot()
        val revision = changed()
        assertInForce(revision)
        running.platform.restore()
        assertNeverBelow(revision, 12.seconds)
        running.entries[1].process.kill()
        val restarted = running.restart(running.entries[1])
        assertTrue(restarted.state().revision >= revision, "${restarted.state()}")
        assertInForce(changed())
    }

    @Test
    fun `an entry that starts during an outage gets the configuration from its peers`() {
        val revision = changed()
        assertInForce(revision)
        running.platform.setFaults(PlatformFaults(objectsUnavailable = true))
        running.entries[1].process.kill()
        val restarted = running.restart(running.entries[1])
        eventually(BOUND, { "${restarted.state()}" }) { restarted.state().revision == revision }
    }

    private fun changed(): Revision =
        running.change { it.copy(trafficRules = it.trafficRules.copy(retryShare = it.trafficRules.retryShare / 2)) }

    private fun assertInForce(revision: Revision) {
        val start = TimeSource.Monotonic.markNow()
        eventually(BOUND, { "revisions ${running.entries.map { it.stateOrNull()?.revision }}, expected $revision" }) {
            running.entries.all { it.stateOrNull()?.revision == revision }
        }
        println("revision $revision in force everywhere after ${start.elapsedNow()}")
    }

    private fun assertNeverBelow(revision: Revision, time: Duration) {
        val end = TimeSource.Monotonic.markNow() + time
        while (end.hasNotPassedNow()) {
            running.entries.forEach { assertTrue(it.state().revision >= revision, "${it.id}: ${it.state().revision}") }
            Thread.sleep(PAUSE_MILLIS)
        }
    }

    private companion object {
        const val PAUSE_MILLIS = 100L
        val BOUND = 5.seconds
    }
}

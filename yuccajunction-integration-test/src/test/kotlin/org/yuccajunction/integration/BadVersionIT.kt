package org.yuccajunction.integration

import org.yuccajunction.document.VersionMove
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion
import org.yuccajunction.rollout.MovePhase
import org.yuccajunction.rollout.MoveStatus
import org.yuccajunction.testing.engine.ModelEngineFaults
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Checks that the entries move a service to a good version in time and take a bad version back.
 *
 * A bad version gets at most the fraction [SHARE_BOUND] of all requests, and no request later than [SECONDS_BOUND]
 * seconds after its tenth request.
 */
class BadVersionIT {
    private val running =
        deployment {
            entries(3)
            model(MODEL, replicas = 3)
        }

    @AfterTest
    fun end() = running.close()

    @Test
    fun `a version that fails every request is taken back`() = assertTakenBack(ModelEngineFaults(failShare = 1.0))

    @Test
    fun `a version that is four times slower is taken back`() = assertTakenBack(ModelEngineFaults(slowFactor = 4.0))

    @Test
    fun `a move to a good version is done in time`() {
        addNewVersion(ModelEngineFaults())
        BackgroundLoad(running, callers = 8).use {
            begin()
            val status = awaitFinal()
            assertEquals(MovePhase.DONE, status.phase, "$status")
        }
    }

    private fun assertTakenBack(faults: ModelEngineFaults) {
        val bad = addNewVersion(faults)
        BackgroundLoad(running, callers = 8).use { load ->
            begin()
            val status = awaitFinal()
            assertEquals(MovePhase.TAKEN_BACK, status.phase, "$status")
            load.continueFor(SECONDS_BOUND * 1_000)
            val arrivals = bad.flatMap { it.ledger().rows }.map { it.receivedAtMillis }.sorted()
            val all = running.models.sumOf { it.ledger().rows.size }
            assertTrue(arrivals.size <= all * SHARE_BOUND, "the bad version received ${arrivals.size} of $all requests")
            val tenthAtMillis = arrivals.getOrNull(TENTH_REQUEST_INDEX) ?: return
            val late = arrivals.count { it > tenthAtMillis + SECONDS_BOUND * 1_000 }
            assertEquals(0, late, "last request ${arrivals.last() - tenthAtMillis} ms after the tenth")
        }
    }

    private fun addNewVersion(faults: ModelEngineFaults): List<ModelEngineHandle> =
        List(3) { running.addModel(ModelPlan(MODEL).apply { version = "v2" }) }.onEach { it.setFaults(faults) }

    private fun begin() {
        val move =
            VersionMove(
                MOVE,
                ServiceName(MODEL),
                ServiceVersion("v1"),
                ServiceVersion("v2"),
                completeWithinSeconds = 60,
            )
        running.change { it.copy(versions = listOf(move)) }
    }

    private fun awaitFinal(): MoveStatus =
        poll(70.seconds, { running.entries.map { it.stateOrNull()?.moves }.toString() }) {
            running.entries.first().stateOrNull()?.moves?.find { it.move == MOVE && it.isFinal }
        }

    private companion object {
        const val MODEL = "talker-llm"
        const val MOVE = "talker-v2"
        const val SHARE_BOUND = 0.1
        const val SECONDS_BOUND = 6L
        const val TENTH_REQUEST_INDEX = 9
    }
}

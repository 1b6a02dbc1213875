package org.yuccajunction.load

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class LoadRunnerTest {
    private val settings = LoadSettings(
        name = "small",
        requestsPerSecond = 100.0,
        seconds = 1,
        warmUpSeconds = 0,
        workspaces = listOf(WorkspaceLoad("one", "key", 1.0)),
        requests = listOf(RequestShape("draft", "model", share = 1.0, tokens = 2, targetMillis = 100)),
    )

    @Test
    fun `a stall of the target adds to the latency of all requests that are due during the stall`() {
        val mutex = Mutex()
        val target = LoadTarget { request, onToken ->
            mutex.withLock { if (request.number == 0) delay(500) }
            repeat(2) { onToken() }
            Outcome.WHOLE
        }
        val result = runBlocking { LoadRunner(target).run("stall", settings, seed = 1) }
        val slow = result.sumHistograms { it.firstToken }.getCountBetweenValues(100_000, 600_000)
        assertTrue(slow >= result.total / 4, "$slow of ${result.total}")
        assertTrue(result.withinTargetShare() < 0.8)
    }

    @Test
    fun `each request is counted under its outcome`() {
        val target = LoadTarget { request, _ -> Outcome.entries[request.number % Outcome.entries.size] }
        val result = runBlocking { LoadRunner(target).run("outcomes", settings, seed = 1) }
        assertEquals(result.total, Outcome.entries.sumOf { result.count(it) })
        assertTrue(Outcome.entries.all { result.count(it) > 0 })
    }
}

package org.yuccajunction.routing

import org.jetbrains.kotlinx.lincheck.annotations.Operation
import org.jetbrains.kotlinx.lincheck.check
import org.jetbrains.kotlinx.lincheck.strategy.stress.StressOptions
import org.yuccajunction.model.BackendServerId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class OpenRequestsTest {
    private val openRequests = OpenRequests()
    private val server = BackendServerId("talker-llm-1")

    @Operation
    fun acquire(): Boolean = openRequests.tryAcquire(server, 2)

    @Operation
    fun count(): Int = openRequests.countAt(server)

    @Test
    fun `tryAcquire fails at the limit and a release frees the permit`() {
        assertTrue(openRequests.tryAcquire(server, 1))
        assertFalse(openRequests.tryAcquire(server, 1))
        openRequests.release(server)
        assertEquals(0, openRequests.countAt(server))
    }

    @Test
    fun `is linearizable`() {
        StressOptions()
            .iterations(10)
            .invocationsPerIteration(500)
            .threads(3)
            .actorsPerThread(2)
            .check(OpenRequestsTest::class)
    }
}

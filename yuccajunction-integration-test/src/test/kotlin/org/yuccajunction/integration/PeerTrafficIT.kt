package org.yuccajunction.integration

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.test.assertTrue
import kotlin.time.TimeSource

/** Checks the bytes that idle entries send to each other. */
class PeerTrafficIT {
    @ParameterizedTest(name = "{0} entries")
    @ValueSource(ints = [4, 8, 16])
    fun `every entry sends less than 3,000 bytes a second to its peers`(size: Int) {
        deployment {
            entries(size)
            application("order-desk")
        }.use { running ->
            Thread.sleep(SETTLING_MILLIS)
            val before = running.entries.map { sent(it) to received(it) }
            val start = TimeSource.Monotonic.markNow()
            Thread.sleep(MEASURED_MILLIS)
            val seconds = start.elapsedNow().inWholeMilliseconds / 1_000.0
            val sent = running.entries.mapIndexed { index, entry -> (sent(entry) - before[index].first) / seconds }
            val received =
                running.entries.mapIndexed { index, entry -> (received(entry) - before[index].second) / seconds }
            println(
                "entries=$size sent a second: mean ${sent.average().toInt()}, most ${sent.max().toInt()}; " +
                    "received: mean ${received.average().toInt()}, most ${received.max().toInt()}",
            )
            assertTrue(sent.max() < MAX_BYTES_PER_SECOND, "bytes sent a second: $sent")
        }
    }

    private fun sent(entry: EntryHandle): Double = entry.metric("yuccajunction_peer_sent_bytes_total")

    private fun received(entry: EntryHandle): Double = entry.metric("yuccajunction_peer_received_bytes_total")

    private companion object {
        const val MAX_BYTES_PER_SECOND = 3_000
        const val SETTLING_MILLIS = 10_000L
        const val MEASURED_MILLIS = 20_000L
    }
}

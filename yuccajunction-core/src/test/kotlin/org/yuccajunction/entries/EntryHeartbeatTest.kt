@file:OptIn(ExperimentalSerializationApi::class)

package org.yuccajunction.entries

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import org.yuccajunction.shortage.DemandReport
import org.yuccajunction.shortage.DemandRow
import org.yuccajunction.shortage.OccupancyReport
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Checks that entries of the previous build and of this one read each other's heartbeats. */
class EntryHeartbeatTest {
    /** The first properties of a heartbeat, as a build without the later ones declares them. */
    @Serializable
    private data class FormerHeartbeat(val name: String, val incarnation: Long, val sequence: Long)

    private val heartbeat = EntryHeartbeat("entry", 3, 7, "10.0.0.1:80", "10.0.0.1:7600", "zone", isReady = true)
    private val rows =
        List(16) { DemandRow(Int.MAX_VALUE - it, listOf(9_000, 9_000, 9_000), listOf(9_000, 9_000, 9_000)) }
    private val report = DemandReport("service", 90_000, 90_000, 900, OccupancyReport(900, 900, 900), rows)

    /** The bytes hold the field numbers 1 to 7, which are all that the previous build writes for this state. */
    @Test
    fun `a heartbeat of the previous build is read without demand`() {
        val bytes = BYTES_OF_PREVIOUS_BUILD.chunked(2).map { it.toInt(16).toByte() }.toByteArray()
        assertEquals(heartbeat, ProtoBuf.decodeFromByteArray<EntryHeartbeat>(bytes))
        assertContentEquals(bytes, ProtoBuf.encodeToByteArray(heartbeat))
    }

    @Test
    fun `a reader without the demand ignores it`() {
        val bytes = ProtoBuf.encodeToByteArray(heartbeat.copy(demand = listOf(report)))
        assertEquals(FormerHeartbeat("entry", 3, 7), ProtoBuf.decodeFromByteArray<FormerHeartbeat>(bytes))
        assertEquals(heartbeat.copy(demand = listOf(report)), ProtoBuf.decodeFromByteArray<EntryHeartbeat>(bytes))
    }

    /** Guards against heartbeats that outgrow a datagram where all of sixteen workspaces are hot. */
    @Test
    fun `the demand of sixteen workspaces for one service takes less than 600 bytes`() {
        val without = ProtoBuf.encodeToByteArray(heartbeat).size
        val bytes = ProtoBuf.encodeToByteArray(heartbeat.copy(demand = listOf(report))).size - without
        println("$bytes bytes for sixteen workspaces and three ranks")
        assertTrue(bytes < 600, "$bytes bytes")
    }

    private companion object {
        const val BYTES_OF_PREVIOUS_BUILD =
            "0a05656e747279" + "1003" + "1807" + "220b31302e302e302e313a3830" +
                "2a0d31302e302e302e313a37363030" + "32047a6f6e65" + "3801"
    }
}

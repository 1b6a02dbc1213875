package org.yuccajunction.entries

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import org.yuccajunction.fleet.ServerObservation
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Entries of the previous build, without [EntryHeartbeat.serverObservations], and of this one run together. */
@OptIn(ExperimentalSerializationApi::class)
class EntryHeartbeatFormatTest {
    /** The first and the last properties that a reader of the previous build knows; others are unknown to it too. */
    @Serializable
    private class PreviousReader(
        val name: String,
        val incarnation: Long,
        val sequence: Long,
        val callerAddress: String,
        val peerAddress: String,
        val availabilityZone: String,
        val isReady: Boolean = false,
        val revision: Long = 0,
    )

    private val previous =
        EntryHeartbeat(
            name = "entry-7",
            incarnation = 1_796_000_000_123,
            sequence = 42,
            callerAddress = "10.0.0.7:80",
            peerAddress = "10.0.0.7:7600",
            availabilityZone = "zone-b",
            isReady = true,
            revision = 9,
            openRequests = mapOf("models" to 3),
            admitted = mapOf("w" to 1.5),
            unreachableServices = listOf("x"),
            rejectionAgesMillis = mapOf("models" to 250),
        )

    private fun hex(bytes: ByteArray) = bytes.joinToString("") { "%02x".format(it) }

    private fun bytes(hex: String) = hex.chunked(2).map { it.toInt(16).toByte() }.toByteArray()

    @Test
    fun `a heartbeat that the previous build wrote is read, and written the same without observations`() {
        assertEquals(previous, ProtoBuf.decodeFromByteArray<EntryHeartbeat>(bytes(RECORDED)))
        assertEquals(RECORDED, hex(ProtoBuf.encodeToByteArray(previous)))
    }

    @Test
    fun `observations come after all that the previous build knows, and a reader without them ignores them`() {
        val observation = ServerObservation(1_900_000_001, 12, 3, 250, 1_400, 160, 30, wasRejected = true)
        val written = ProtoBuf.encodeToByteArray(previous.copy(serverObservations = listOf(observation)))
        assertEquals(RECORDED + RECORDED_OBSERVATION, hex(written))
        val read = ProtoBuf.decodeFromByteArray<PreviousReader>(written)
        assertEquals(listOf("entry-7", "zone-b", 9L), listOf(read.name, read.availabilityZone, read.revision))
        assertEquals(listOf(observation), ProtoBuf.decodeFromByteArray<EntryHeartbeat>(written).serverObservations)
    }

    /** 32 heartbeats a second with 8 observations each must cost no more than a few KB/s. */
    @Test
    fun `eight observations of the largest usual figures take at most 208 bytes`() {
        val observations = List(8) { ServerObservation(Int.MAX_VALUE, 99, 99, 999, 2_999, 300, 30, wasRejected = true) }
        val written = ProtoBuf.encodeToByteArray(previous.copy(serverObservations = observations))
        assertTrue(written.size - RECORDED.length / 2 <= 208, "${written.size} bytes")
    }

    private companion object {
        /** Bytes that the build before the observations wrote for the heartbeat above. */
        const val RECORDED =
            "0a07656e7472792d3710fbd0c4cfa234182a220b31302e302e302e373a38302a0d31302e302e302e373a37363030" +
                "32067a6f6e652d6238014009520a0a066d6f64656c7310035a0c0a017711000000000000f83f92010178" +
                "a2010b0a066d6f64656c7310fa01"

        /** Field 21 with one observation, which that build read over when it was given both. */
        const val RECORDED_OBSERVATION = "aa01170881e6fe8907100c180320fa0128f80a30a001381e4001"
    }
}

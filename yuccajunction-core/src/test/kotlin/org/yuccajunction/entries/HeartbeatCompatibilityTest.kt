package org.yuccajunction.entries

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import org.yuccajunction.quota.RelayedUsage
import org.yuccajunction.quota.UsageReport
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Guards against entries of two builds that can't read each other's messages during an upgrade. */
@OptIn(ExperimentalSerializationApi::class)
class HeartbeatCompatibilityTest {
    /** The first properties of a heartbeat of a build that does not know the later ones. */
    @Serializable
    private data class FormerHeartbeat(
        val name: String,
        val incarnation: Long,
        val sequence: Long,
        val callerAddress: String,
        val peerAddress: String,
        val availabilityZone: String,
    )

    @Serializable
    private data class FormerAnswer(val stamp: Long, val ageMillis: Long, val changes: Map<String, Long>)

    private val usage = UsageReport(mapOf("w" to 4.0), listOf(RelayedUsage("b", 1, 2, mapOf("w" to 3.0), emptyMap())))
    private val heartbeat = EntryHeartbeat("a", 7, 9, "a:80", "a:7600", "zone", usageReport = usage)

    @Test
    fun `a heartbeat with a usage report can be read back, and by a build that does not know it`() {
        val bytes = ProtoBuf.encodeToByteArray(heartbeat)
        assertEquals(heartbeat, ProtoBuf.decodeFromByteArray<EntryHeartbeat>(bytes))
        val former = FormerHeartbeat("a", 7, 9, "a:80", "a:7600", "zone")
        assertEquals(former, ProtoBuf.decodeFromByteArray<FormerHeartbeat>(bytes))
        assertNull(ProtoBuf.decodeFromByteArray<EntryHeartbeat>(ProtoBuf.encodeToByteArray(former)).usageReport)
    }

    @Test
    fun `an answer with changes can be read by a build that does not know them, and one without them by this build`() {
        val changes = RelayedChanges("servers", 5, 7, listOf(RelayedObject("servers/a", 7, "{}")))
        val answer = ConfirmationAnswer(3, 40, mapOf("servers" to 7), storeEra = 2, relayedChanges = listOf(changes))
        val bytes = ProtoBuf.encodeToByteArray(answer)
        assertEquals(answer, ProtoBuf.decodeFromByteArray<ConfirmationAnswer>(bytes))
        val former = FormerAnswer(3, 40, mapOf("servers" to 7))
        assertEquals(former, ProtoBuf.decodeFromByteArray<FormerAnswer>(bytes))
        val read = ProtoBuf.decodeFromByteArray<ConfirmationAnswer>(ProtoBuf.encodeToByteArray(former))
        assertEquals(ConfirmationAnswer(3, 40, mapOf("servers" to 7)), read)
    }
}

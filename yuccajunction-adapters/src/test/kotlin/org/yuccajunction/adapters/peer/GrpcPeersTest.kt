package org.yuccajunction.adapters.peer

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.protobuf.ProtoBuf
import org.junit.jupiter.api.AfterEach
import org.yuccajunction.document.Deployment
import org.yuccajunction.membership.EntryState
import org.yuccajunction.membership.Heartbeat
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.RequestId
import org.yuccajunction.model.Revision
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.WorkspaceId
import org.yuccajunction.port.ForwardOutcome
import org.yuccajunction.port.ForwardedCall
import org.yuccajunction.port.PeerHandler
import org.yuccajunction.record.HandOver
import org.yuccajunction.record.RecordAnswer
import java.net.InetSocketAddress
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalSerializationApi::class)
class GrpcPeersTest {
    private val traffic = PeerTraffic()
    private val peers = GrpcPeers(traffic)
    private val server = GrpcPeerServer(Endpoint("127.0.0.1", 0), StubHandler).also { it.start() }
    private val endpoint = Endpoint("127.0.0.1", server.port)

    @AfterEach
    fun close() {
        peers.close()
        server.close()
    }

    @Test
    fun `a heartbeat returns the heartbeat of the peer`() = runBlocking {
        val answer = peers.sendHeartbeat(endpoint, heartbeat(1))
        assertEquals(heartbeat(2), answer)
        assertTrue(traffic.bytesSent > 0 && traffic.bytesReceived > 0)
    }

    @Test
    fun `pulling the configuration returns that of the peer`() = runBlocking {
        assertEquals(Deployment(revision = Revision(7)), peers.pullDeployment(endpoint))
    }

    @Test
    fun `a forwarded call returns the answer of its home entry`() = runBlocking {
        val outcome = assertIs<ForwardOutcome.Answered>(peers.forward(endpoint, call("echo"), 2.seconds))
        assertContentEquals("echo".encodeToByteArray(), outcome.body)
    }

    @Test
    fun `a forwarded call without an answer has an unknown outcome`() = runBlocking {
        assertIs<ForwardOutcome.Unknown>(peers.forward(endpoint, call("silent"), 300.milliseconds))
        Unit
    }

    @Test
    fun `a forwarded call without a connection has an unknown outcome, not a refusal`() = runBlocking {
        Socket().use { notListening ->
            notListening.bind(InetSocketAddress("127.0.0.1", 0))
            val nobody = Endpoint("127.0.0.1", notListening.localPort)
            repeat(20) {
                val outcome = peers.forward(nobody, call("echo"), 2.seconds)
                assertIs<ForwardOutcome.Unknown>(outcome, "$outcome")
            }
            assertNull(peers.sendHeartbeat(nobody, heartbeat(1)))
        }
    }

    @Test
    fun `after a call without an answer the next call opens a new connection`() = runBlocking {
        peers.forward(endpoint, call("silent"), 300.milliseconds)
        val before = traffic.connectionsOpened
        peers.sendHeartbeat(endpoint, heartbeat(1))
        assertEquals(before + 1, traffic.connectionsOpened)
    }

    @Test
    fun `a hand-over is kept and a record query is answered`() = runBlocking {
        assertTrue(peers.handOver(endpoint, HandOver(heartbeat(1).sender.entry)))
        assertEquals(RecordAnswer.Unknown("entry-1~1~0~a"), peers.findRecord(endpoint, "entry-1~1~0~a"))
    }

    @Test
    fun `a heartbeat message adds less than 100 bytes to its content`() = runBlocking {
        repeat(20) { peers.sendHeartbeat(endpoint, heartbeat(1)) }
        val before = traffic.bytesSent + traffic.bytesReceived
        repeat(100) { peers.sendHeartbeat(endpoint, heartbeat(1)) }
        val perMessage = (traffic.bytesSent + traffic.bytesReceived - before) / 200
        val content = ProtoBuf.encodeToByteArray(Heartbeat.serializer(), heartbeat(1)).size
        println("bytes per message: $perMessage, of which content: $content")
        assertTrue(perMessage - content < 100, "bytes per message beyond the content: ${perMessage - content}")
    }

    private fun call(text: String): ForwardedCall =
        ForwardedCall(
            RequestId(EntryIncarnation(InstanceId("entry-2"), 1), 0, "a"),
            WorkspaceId("w"),
            ServiceName("order-desk"),
            "POST",
            "/jobs",
            emptyList(),
            text.encodeToByteArray(),
        )

    private object StubHandler : PeerHandler {
        override suspend fun answerHeartbeat(heartbeat: Heartbeat): Heartbeat = heartbeat(2)

        override suspend fun deployment(): Deployment = Deployment(revision = Revision(7))

        override suspend fun executeForwardedCall(call: ForwardedCall): ForwardOutcome =
            if (call.body.decodeToString() == "silent") {
                awaitCancellation()
            } else {
                ForwardOutcome.Answered(200, emptyList(), call.body)
            }

        override suspend fun takeOver(handOver: HandOver): Boolean = true

        override suspend fun findRecord(requestId: String): RecordAnswer = RecordAnswer.Unknown(requestId)
    }

    private companion object {
        fun heartbeat(number: Int): Heartbeat =
            Heartbeat(
                EntryState(
                    EntryIncarnation(InstanceId("entry-$number"), 1),
                    stateVersion = 3,
                    AvailabilityZone("cairo-a"),
                    Endpoint("127.0.0.1", 8000 + number),
                    Endpoint("127.0.0.1", 9000 + number),
                    Revision(4),
                ),
                Revision(4),
            )
    }
}

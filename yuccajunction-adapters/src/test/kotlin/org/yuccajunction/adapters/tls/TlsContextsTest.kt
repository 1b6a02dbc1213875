package org.yuccajunction.adapters.tls

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.io.TempDir
import org.yuccajunction.adapters.peer.GrpcPeerServer
import org.yuccajunction.adapters.peer.GrpcPeers
import org.yuccajunction.document.Deployment
import org.yuccajunction.membership.Heartbeat
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.Revision
import org.yuccajunction.port.ForwardOutcome
import org.yuccajunction.port.ForwardedCall
import org.yuccajunction.port.PeerHandler
import org.yuccajunction.record.HandOver
import org.yuccajunction.record.RecordAnswer
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class TlsContextsTest {
    @TempDir
    lateinit var folder: Path

    private val certificates by lazy { TestCertificates(folder) }

    @Test
    fun `a peer connects with a trusted certificate only, and only to a trusted peer`() {
        val server = certificates.make("server")
        val stranger = certificates.make("stranger")
        withServer(server) { endpoint ->
            assertEquals(Revision(7), pull(endpoint, GrpcPeers { TlsContexts(TlsIdentity(server)).peerClient() }))
            val untrusted = TlsContexts(TlsIdentity(stranger.copy(trust = server.trust))).peerClient()
            assertNull(pull(endpoint, GrpcPeers { untrusted }))
            val distrusting = TlsContexts(TlsIdentity(server.copy(trust = stranger.trust))).peerClient()
            assertNull(pull(endpoint, GrpcPeers { distrusting }))
            assertNull(pull(endpoint, GrpcPeers()))
        }
    }

    @Test
    fun `changed files are used without a restart`() {
        val server = certificates.make("server")
        val next = certificates.make("next")
        withServer(server) { endpoint ->
            assertNull(pull(endpoint, GrpcPeers { TlsContexts(TlsIdentity(next)).peerClient() }))
            replace(next.certificate, server.certificate)
            replace(next.key, server.key)
            assertEquals(Revision(7), pull(endpoint, GrpcPeers { TlsContexts(TlsIdentity(next)).peerClient() }))
        }
    }

    @Test
    fun `the earlier certificate stays in use while changed files are unusable`() {
        val server = certificates.make("server")
        val client = certificates.make("client", trusted = "server")
        val both = server.copy(trust = folder.resolve("both.crt"))
        Files.writeString(both.trust, Files.readString(server.trust) + Files.readString(client.certificate))
        withServer(both) { endpoint ->
            assertEquals(Revision(7), pull(endpoint, GrpcPeers { TlsContexts(TlsIdentity(client)).peerClient() }))
            Files.writeString(server.key, "broken")
            assertEquals(Revision(7), pull(endpoint, GrpcPeers { TlsContexts(TlsIdentity(client)).peerClient() }))
        }
    }

    @Test
    fun `unusable files yield findings that don't contain the key`() {
        val files = certificates.make("server")
        val other = certificates.make("other")
        assertEquals(emptyList(), TlsIdentity(files).findings())
        assertEquals(
            listOf("${other.key}: is not the key of ${files.certificate}"),
            TlsIdentity(files.copy(key = other.key)).findings().map { it.toString() },
        )
        assertEquals(
            listOf("${files.certificate}: holds no certificate or key in PEM form"),
            TlsIdentity(files.copy(key = files.certificate)).findings().map { it.toString() },
        )
    }

    @Test
    fun `plain text outside loopback is refused unless allowed`() {
        val outside = Endpoint("10.0.0.1", 80)
        assertEquals(emptyList(), TlsSettings().findings("--caller-listen", Endpoint("127.0.0.1", 80)))
        assertEquals(
            listOf("--caller-listen: 10.0.0.1:80 is not on loopback; name TLS files or allow plain text"),
            TlsSettings().findings("--caller-listen", outside).map { it.toString() },
        )
        assertEquals(emptyList(), TlsSettings(plainTextAllowed = true).findings("--caller-listen", outside))
    }

    private fun withServer(files: TlsFiles, use: (Endpoint) -> Unit) {
        val context = TlsContexts(TlsIdentity(files)).peerServer()
        GrpcPeerServer(Endpoint("127.0.0.1", 0), Handler, sslContext = context).use {
            it.start()
            use(Endpoint("127.0.0.1", it.port))
        }
    }

    private fun pull(endpoint: Endpoint, peers: GrpcPeers): Revision? =
        peers.use { runBlocking { it.pullDeployment(endpoint)?.revision } }

    private fun replace(from: Path, to: Path) {
        Files.copy(from, to, StandardCopyOption.REPLACE_EXISTING)
    }

    private object Handler : PeerHandler {
        override suspend fun answerHeartbeat(heartbeat: Heartbeat): Heartbeat = heartbeat

        override suspend fun deployment(): Deployment = Deployment(revision = Revision(7))

        override suspend fun executeForwardedCall(call: ForwardedCall): ForwardOutcome = ForwardOutcome.Unknown(
            "not run in this test",
        )

        override suspend fun takeOver(handOver: HandOver): Boolean = false

        override suspend fun findRecord(requestId: String): RecordAnswer = RecordAnswer.Absent
    }
}

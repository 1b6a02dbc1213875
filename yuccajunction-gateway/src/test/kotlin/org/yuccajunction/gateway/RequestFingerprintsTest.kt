package org.yuccajunction.gateway

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import org.yuccajunction.model.WorkspaceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals

class RequestFingerprintsTest {
    private fun fingerprint(
        target: String = "/orders/7?full=1",
        host: String = "desk.example",
        id: String = "r1",
        body: String = "body",
        workspace: String = "workspace",
        method: HttpMethod = HttpMethod.POST,
    ): Long {
        val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, method, target)
        head.headers().set("Host", host).set("id", id).set("limit", id.length * 1_000)
        return RequestFingerprints.of(head, Unpooled.copiedBuffer(body, Charsets.UTF_8), WorkspaceId(workspace))
    }

    @Test
    fun `a request that comes again with another identifier and time limit keeps its fingerprint`() =
        assertEquals(fingerprint(), fingerprint(id = "r1234", host = "DESK.example"))

    @Test
    fun `requests that differ in method, host, target, workspace or body have different fingerprints`() {
        val others =
            listOf(
                fingerprint(target = "/orders/8?full=1"),
                fingerprint(target = "/orders/7?full=2"),
                fingerprint(host = "other.example"),
                fingerprint(body = "other"),
                fingerprint(workspace = "other"),
                fingerprint(method = HttpMethod.PUT),
            )
        others.forEach { assertNotEquals(fingerprint(), it) }
        assertEquals(others.size, others.toSet().size)
    }
}

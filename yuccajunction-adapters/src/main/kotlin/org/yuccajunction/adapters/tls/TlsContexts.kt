package org.yuccajunction.adapters.tls

import io.grpc.netty.GrpcSslContexts
import io.netty.handler.ssl.ClientAuth
import io.netty.handler.ssl.SslContext
import io.netty.handler.ssl.SslContextBuilder

/** Makes the TLS contexts of an entry. They stay valid when the files of [identity] change. */
public class TlsContexts(private val identity: TlsIdentity) {
    /** For a port that callers or operators connect to, who need no certificate. */
    public fun server(): SslContext =
        SslContextBuilder.forServer(ReloadingKeyManager(identity)).protocols(protocols).build()

    /** For the port that other entries connect to, who must show a certificate. */
    public fun peerServer(): SslContext =
        GrpcSslContexts
            .configure(SslContextBuilder.forServer(ReloadingKeyManager(identity)))
            .trustManager(ReloadingTrustManager(identity))
            .clientAuth(ClientAuth.REQUIRE)
            .protocols(protocols)
            .build()

    /** For connections to other entries, to whom this entry shows its certificate. */
    public fun peerClient(): SslContext =
        GrpcSslContexts
            .configure(SslContextBuilder.forClient())
            .keyManager(ReloadingKeyManager(identity))
            .trustManager(ReloadingTrustManager(identity))
            .protocols(protocols)
            .build()

    private companion object {
        val protocols = listOf("TLSv1.3", "TLSv1.2")
    }
}

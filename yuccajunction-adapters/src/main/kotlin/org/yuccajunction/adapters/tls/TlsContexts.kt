package org.yuccajunction.adapters.tls

import io.grpc.netty.GrpcSslContexts
import io.netty.handler.ssl.ClientAuth
import io.netty.handler.ssl.SslContext
import io.netty.handler.ssl.SslContextBuilder

/** Creates the TLS contexts of an entry. A context uses changed files of [identity] from the next handshake on. */
public class TlsContexts(private val identity: TlsIdentity) {
    /** Creates the context of a port for callers or operators, which need no client certificate. */
    public fun server(): SslContext =
        SslContextBuilder.forServer(ReloadingKeyManager(identity)).protocols(protocols).build()

    /** Creates the context of the port for other entries, which must present a client certificate. */
    public fun peerServer(): SslContext =
        GrpcSslContexts
            .configure(SslContextBuilder.forServer(ReloadingKeyManager(identity)))
            .trustManager(ReloadingTrustManager(identity))
            .clientAuth(ClientAuth.REQUIRE)
            .protocols(protocols)
            .build()

    /** Creates the context of connections to other entries; this entry presents its certificate. */
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

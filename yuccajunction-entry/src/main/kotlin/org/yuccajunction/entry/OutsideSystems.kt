package org.yuccajunction.entry

import org.yuccajunction.adapters.application.HttpApplication
import org.yuccajunction.adapters.engine.BackendClient
import org.yuccajunction.adapters.engine.OpenAiModelEngine
import org.yuccajunction.adapters.peer.GrpcPeers
import org.yuccajunction.adapters.peer.PeerTraffic
import org.yuccajunction.adapters.platform.HttpCloudApi
import org.yuccajunction.adapters.platform.HttpInstanceList
import org.yuccajunction.adapters.platform.HttpObjectStore
import org.yuccajunction.adapters.platform.PlatformClient
import org.yuccajunction.model.Endpoint
import org.yuccajunction.port.Application
import org.yuccajunction.port.ModelEngine
import org.yuccajunction.port.ObjectStore
import java.net.URI

/** The adapters of one entry: the one place that names which protocol each outside system is reached by. */
public class OutsideSystems(settings: EntrySettings) : AutoCloseable {
    private val platformClient = PlatformClient.create()
    private val backendClient = BackendClient.create()

    public val peerTraffic: PeerTraffic = PeerTraffic()
    public val objects: ObjectStore = HttpObjectStore(platformClient, settings.platformUrl.toEndpoint())
    public val instances: HttpInstanceList = HttpInstanceList(platformClient, settings.platformUrl.toEndpoint())
    public val cloud: HttpCloudApi = HttpCloudApi(platformClient, settings.cloudUrl.toEndpoint())
    public val engine: ModelEngine = OpenAiModelEngine(backendClient)
    public val application: Application = HttpApplication(backendClient)
    public val peers: GrpcPeers = GrpcPeers(peerTraffic)

    /** The systems that control commands reach. */
    public fun controlPorts(): ControlPorts = ControlPorts(objects, instances, cloud, engine, peers)

    override fun close() {
        peers.close()
        backendClient.close()
        platformClient.close()
    }
}

private const val HTTP_PORT = 80

private fun URI.toEndpoint(): Endpoint = Endpoint(host, if (port < 0) HTTP_PORT else port)

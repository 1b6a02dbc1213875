package org.yuccajunction.entry

import org.yuccajunction.adapters.application.HttpApplication
import org.yuccajunction.adapters.engine.BackendServerClient
import org.yuccajunction.adapters.engine.OpenAiModelEngine
import org.yuccajunction.adapters.peer.GrpcPeers
import org.yuccajunction.adapters.peer.PeerTraffic
import org.yuccajunction.adapters.platform.HttpCloudApi
import org.yuccajunction.adapters.platform.HttpInstanceList
import org.yuccajunction.adapters.platform.HttpObjectStore
import org.yuccajunction.adapters.platform.PlatformClient
import org.yuccajunction.adapters.platform.RateLimitedObjectStore
import org.yuccajunction.adapters.platform.StoreBudget
import org.yuccajunction.adapters.platform.StoreCallKind
import org.yuccajunction.model.Endpoint
import org.yuccajunction.port.Application
import org.yuccajunction.port.ModelEngine
import org.yuccajunction.port.ObjectStore
import java.net.URI

/**
 * The adapters of one entry; this class chooses the protocol for each external system.
 *
 * The control thread and the requests have separate budgets of calls to the object API, so that neither can exhaust the
 * budget of the other.
 *
 * @param onStoreCall called for each call to the object API
 */
public class ExternalSystems(settings: EntrySettings, onStoreCall: (StoreCallKind) -> Unit = {}) : AutoCloseable {
    private val platformClient = PlatformClient.create()
    private val backendClient = BackendServerClient.create()

    private val controlObjectStore = RateLimitedObjectStore(createObjectStore(settings), onCall = onStoreCall)

    public val peerTraffic: PeerTraffic = PeerTraffic()
    public val objects: ObjectStore =
        RateLimitedObjectStore(createObjectStore(settings), REQUEST_STORE_BUDGET, onCall = onStoreCall)
    public val instances: HttpInstanceList = HttpInstanceList(platformClient, settings.platformUrl.toEndpoint())
    public val cloud: HttpCloudApi = HttpCloudApi(platformClient, settings.cloudUrl.toEndpoint())
    public val engine: ModelEngine = OpenAiModelEngine(backendClient)
    public val application: Application = HttpApplication(backendClient)
    public val peers: GrpcPeers = GrpcPeers(peerTraffic)

    /** Returns the external systems that control commands call. */
    public fun controlPorts(): ControlPorts = ControlPorts(controlObjectStore, instances, cloud, engine, peers)

    private fun createObjectStore(settings: EntrySettings) =
        HttpObjectStore(platformClient, settings.platformUrl.toEndpoint())

    override fun close() {
        peers.close()
        backendClient.close()
        platformClient.close()
    }

    private companion object {
        val REQUEST_STORE_BUDGET = StoreBudget(callsPerSecond = 40.0, burst = 200.0)
    }
}

private const val DEFAULT_HTTP_PORT = 80

private fun URI.toEndpoint(): Endpoint = Endpoint(host, if (port < 0) DEFAULT_HTTP_PORT else port)

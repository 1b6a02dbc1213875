package org.yuccajunction.entry

import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.InstanceId
import java.net.URI
import java.nio.file.Path
import kotlin.time.Duration

/** The validated settings of one entry; see [EntryFlag] for their meanings. */
public data class EntrySettings(
    public val instanceId: InstanceId,
    public val availabilityZone: AvailabilityZone,
    public val platformUrl: URI,
    public val cloudUrl: URI,
    public val callerListen: Endpoint,
    public val peerListen: Endpoint,
    public val operatorListen: Endpoint,
    public val callerAdvertise: Endpoint?,
    public val peerAdvertise: Endpoint?,
    public val shutdownNotice: Duration,
    public val openRequestLimit: Int,
    public val bodyLimitBytes: Long,
    public val storeCallsPerSecond: Int,
    public val operatorsFile: Path?,
    public val seed: Long?,
)

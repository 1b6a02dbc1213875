package org.yuccajunction.entry

import org.yuccajunction.port.CloudApi
import org.yuccajunction.port.InstanceList
import org.yuccajunction.port.ModelEngine
import org.yuccajunction.port.ObjectStore
import org.yuccajunction.port.Peers

/** The external systems that control commands call. */
public class ControlPorts(
    public val objects: ObjectStore,
    public val instances: InstanceList,
    public val cloud: CloudApi,
    public val engine: ModelEngine,
    public val peers: Peers,
)

package org.yuccajunction.entry.serving

import org.yuccajunction.port.Application
import org.yuccajunction.port.ModelEngine
import org.yuccajunction.port.ObjectStore
import org.yuccajunction.port.Peers

/** The external systems that the entry calls to serve callers. */
public class ServingPorts(
    public val engine: ModelEngine,
    public val application: Application,
    public val peers: Peers,
    public val objects: ObjectStore,
)

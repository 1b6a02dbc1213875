package org.yuccajunction.document

import kotlinx.serialization.Serializable
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.InstanceId

/**
 * Workspaces with their limits, the retry budget, drained instances and operators.
 *
 * @property retryShare retry budget of an entry as a fraction of its requests, from 0 to 1
 * @property addressAnswerSeconds how long callers may reuse the list of entry addresses, in seconds
 * @property drainedEntries entries that finish their open requests and are not advertised to callers
 * @property drainedBackendServers backend servers that finish their open requests and get no new ones
 * @property operators operators in addition to those in the settings of the entries
 */
@Serializable
public data class TrafficRules(
    public val workspaces: List<WorkspaceRule> = emptyList(),
    public val retryShare: Double = 0.1,
    public val addressAnswerSeconds: Long = 5,
    public val drainedEntries: List<InstanceId> = emptyList(),
    public val drainedBackendServers: List<BackendServerId> = emptyList(),
    public val operators: List<OperatorRule> = emptyList(),
)

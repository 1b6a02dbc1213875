package org.yuccajunction.document

import kotlinx.serialization.Serializable
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.InstanceId

/**
 * Who may call, with which limits, how an entry spends its retries, and which single instances take no new work.
 *
 * @property retryShare share of an entry's requests that it may try again, from 0 to 1
 * @property addressAnswerSeconds how long callers may keep an address answer
 * @property drainedEntries entries that finish what they have and are advertised to no caller
 * @property drainedBackendServers backend servers that finish what they have and get no new work
 * @property operators operators besides those of the entries' own settings
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

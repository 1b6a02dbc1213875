package org.yuccajunction.document

import kotlinx.serialization.Serializable

/** Who may call, with which limits, and how an entry spends its retries. */
@Serializable
public data class TrafficRules(
    public val workspaces: List<WorkspaceRule> = emptyList(),
    public val retryShare: Double = 0.1,
    public val addressAnswerSeconds: Long = 5,
)

package org.yuccajunction.shortage

import org.yuccajunction.forward.WorkspacePolicy

/**
 * The weights of workspaces in the division of capacity, by their quotas.
 *
 * Quotas in tokens and in requests are each compared with the mean quota of their kind. A workspace without a quota has
 * the mean weight, 1.
 */
internal class WorkspaceWeights(policies: Collection<WorkspacePolicy> = emptyList()) {
    private val weights: Map<Int, Double> =
        policies
            .filter { it.ratePerSecond > 0.0 }
            .groupBy { it.countsTokens }
            .values
            .flatMap { same ->
                val mean = same.sumOf { it.ratePerSecond } / same.size
                same.map { WorkspaceHash.of(it.id) to it.ratePerSecond / mean }
            }.toMap()

    fun of(workspace: Int): Double = weights[workspace] ?: 1.0
}

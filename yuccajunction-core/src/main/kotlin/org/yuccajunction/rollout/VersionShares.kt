package org.yuccajunction.rollout

import org.yuccajunction.document.VersionMove
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion

/**
 * The versions of one service that get new requests now.
 *
 * @property defaultShares fraction of the new requests by version
 * @property trialVersion the version that an open move is rolling out, null without one
 * @property sharesByRoute shares that replace [defaultShares] on one route, by route
 */
public data class VersionShares(
    public val defaultShares: Map<ServiceVersion, Double>,
    public val trialVersion: ServiceVersion? = null,
    public val sharesByRoute: Map<String, Map<ServiceVersion, Double>> = emptyMap(),
) {
    public companion object {
        /** Returns the shares of [service], whose configured version is [version], under [moves] and [rollout]. */
        public fun of(
            service: ServiceName,
            version: ServiceVersion,
            moves: List<VersionMove>,
            rollout: RolloutState,
        ): VersionShares =
            moves
                .filter { it.service == service }
                .fold(VersionShares(mapOf(version to 1.0))) { shares, move -> shares.withMove(move, rollout) }

        private fun VersionShares.withMove(move: VersionMove, rollout: RolloutState): VersionShares {
            val isNext = defaultShares.keys == setOf(move.from)
            val status = rollout.moves[move.name]
            val vetoes = rollout.vetoes.filter { it.move == move.name && it.version == move.to }
            val oldOnly = mapOf(move.from to 1.0)
            return when {
                !isNext -> this
                status?.phase == MovePhase.DONE -> VersionShares(mapOf(move.to to 1.0))
                status?.phase == MovePhase.TAKEN_BACK || vetoes.any { it.route == null } -> this
                else -> VersionShares(
                    split(move, status?.share ?: 0.0),
                    move.to,
                    vetoes.associate {
                        it.route!! to
                            oldOnly
                    },
                )
            }
        }

        private fun split(move: VersionMove, share: Double): Map<ServiceVersion, Double> =
            mapOf(move.from to 1.0 - share, move.to to share)
    }
}

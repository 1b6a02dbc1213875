package org.yuccajunction.shortage

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A burst of 6 s in a [ShortageFleet]: one class at 2.5 times and three of sixteen workspaces at 5 to 8 times the usual
 * demand.
 *
 * @param during is run at the begin of the burst
 */
class ShortageBurst(val fleet: ShortageFleet, private val burstKind: ShortageFleet.Kind, during: () -> Unit = {}) {
    private val hot = mapOf(2 to 5.0, 7 to 6.5, 12 to 8.0)

    init {
        fleet.simulate(BURST_FROM)
        during()
        fleet.simulate(BURST_UNTIL, mapOf(burstKind to BURST_FACTOR), hot)
        fleet.simulate(END)
        fleet.time.runUntil(END + 12.seconds)
    }

    private val usual = fleet.outcomes.filter { it.arrivedAt in USUAL_FROM..<BURST_FROM }
    private val burst = fleet.outcomes.filter { it.arrivedAt in BURST_FROM..<BURST_UNTIL }

    /** Returns the requests of [rank] that were served per second of the burst, as a fraction of those usually. */
    fun servedComparedWithUsual(rank: Int): Double =
        perSecond(burst, BURST_UNTIL - BURST_FROM, rank) / perSecond(usual, BURST_FROM - USUAL_FROM, rank)

    private fun perSecond(outcomes: List<ShortageFleet.Outcome>, time: Duration, rank: Int) =
        outcomes.count { it.kind.rank == rank && it.isServed } / (time / 1.seconds)

    /** Returns the fraction of the requests of [rank] in the burst that were served. */
    fun servedFraction(rank: Int): Double = fraction(burst.filter { it.kind.rank == rank })

    private fun fraction(outcomes: List<ShortageFleet.Outcome>) =
        outcomes.count { it.isServed } / outcomes.size.toDouble()

    /** Returns the workspaces whose demand in the burst is within their max-min fair share of the true capacity. */
    fun workspacesWithinShare(): Set<Int> {
        val sizes = ShortageFleet.SIZES
        val demand = sizes.indices.associateWith { workspace ->
            ShortageFleet.KINDS.sumOf { kind ->
                val factor = (hot[workspace] ?: 1.0) * if (kind == burstKind) BURST_FACTOR else 1.0
                kind.perSecond * kind.slotMillis * factor * sizes[workspace] / sizes.sum()
            }
        }
        val shares = FairShares.fill(demand, { sizes[it].toDouble() }, fleet.capacity)
        return sizes.indices.filterTo(HashSet()) { shares.getValue(it) >= demand.getValue(it) }
    }

    /** Returns by how much the served fraction of each workspace that is not hot falls in the burst. */
    fun lossOfOthers(): Map<Int, Double> =
        (ShortageFleet.SIZES.indices - hot.keys).associateWith { workspace ->
            fraction(usual.filter { it.workspace == workspace }) - fraction(burst.filter { it.workspace == workspace })
        }

    /** Returns the number of requests of [workspace] in the burst. */
    fun requestsOf(workspace: Int): Int = burst.count { it.workspace == workspace }

    /** Prints served and rejected requests by class and workspace. */
    fun print(name: String) {
        val byRank = (0..2).joinToString { rank ->
            "rank $rank %.3f (usually %.3f, %.2f times as many)".format(
                servedFraction(rank),
                fraction(usual.filter { it.kind.rank == rank }),
                servedComparedWithUsual(rank),
            )
        }
        val byWorkspace = ShortageFleet.SIZES.indices.joinToString(" ") { workspace ->
            "%.2f".format(fraction(burst.filter { it.workspace == workspace })) + if (workspace in hot) "*" else ""
        }
        println("$name: served of ${burst.size}: $byRank")
        println("    by workspace (* hot): $byWorkspace")
        println(
            "    rejected ${rejectionsBetween(
                BURST_FROM,
                BURST_UNTIL,
            )}, usually ${rejectionsBetween(USUAL_FROM, BURST_FROM)}, " +
                "in seconds after the burst ${(0..5).map {
                    rejectionsBetween(
                        BURST_UNTIL + it.seconds,
                        BURST_UNTIL + (it + 1).seconds,
                    )
                }}, " +
                "with room left ${fleet.rejections.count { it.isRoomLeft }}",
        )
    }

    /** Returns the fraction of the requests that arrived between [from] and [until] that were served. */
    fun servedBetween(from: Duration, until: Duration): Double =
        fraction(fleet.outcomes.filter { it.arrivedAt in from..<until })

    /** Returns how many tries were rejected for shortage between [from] and [until]. */
    fun rejectionsBetween(from: Duration, until: Duration) = fleet.rejections.count { it.at in from..<until }

    companion object {
        private const val BURST_FACTOR = 2.5
        val USUAL_FROM = 13.seconds
        val BURST_FROM = 20.seconds
        val BURST_UNTIL = 26.seconds
        val END = 34.seconds
    }
}

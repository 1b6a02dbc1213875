package org.yuccajunction.gateway

import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.withContext
import org.yuccajunction.entries.EntryHeartbeat
import org.yuccajunction.forward.WorkspacePolicy
import org.yuccajunction.model.WorkspaceId
import org.yuccajunction.quota.QuotaLoan
import org.yuccajunction.quota.QuotaLoanRequest
import org.yuccajunction.quota.QuotaLoanRound
import org.yuccajunction.quota.QuotaReport
import java.util.concurrent.TimeUnit

/**
 * Borrows from peers what a caller's request needs beside what this entry holds of a quota, and lends to peers.
 *
 * The request waits for its loans for a few milliseconds. Confined to the traffic thread, but for [awaitedMembers].
 */
internal class QuotaExchange(private val dataPlane: DataPlane) {
    private val waiting = HashMap<Long, () -> Unit>()

    /** Sends requests to peers, by their names; set before the first request of a caller. */
    var sendRequests: (Map<String, QuotaLoanRequest>) -> Unit = {}

    /**
     * Requests loans for a caller's request that takes [charge] out of the quota of [policy].
     *
     * Returns null if the peers can't spare that much. Otherwise [hold] lets the request wait; the function that it
     * returns is called once the loans are there, or are not to come.
     */
    fun begin(policy: WorkspacePolicy, charge: Double, hold: () -> (() -> Unit)): QuotaLoanRound? {
        val round = dataPlane.quotas.beginRound(policy, charge, dataPlane.now()) ?: return null
        waiting[round.number] = hold()
        sendRequests(round.messages())
        dataPlane.loop.schedule({ end(round.number) }, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        return round
    }

    /** Adds the [loan] of a peer; the last one of its round ends the round. */
    fun accept(loan: QuotaLoan) {
        val complete = dataPlane.quotas.acceptLoan(loan, dataPlane.now()) ?: return
        end(complete.number)
    }

    /** Returns what this entry lends a peer for [request]. */
    fun lend(request: QuotaLoanRequest): QuotaLoan {
        val workspace = request.workspace.takeIf { it.isNotBlank() }?.let(::WorkspaceId)
        val policy = workspace?.let { dataPlane.fleet.configuration?.workspace(it) }
        return dataPlane.quotas.lend(policy, request, dataPlane.now())
    }

    /** Returns what this entry reports of the quotas to its peers. */
    fun report(): QuotaReport =
        QuotaReport(
            isUsingPart = dataPlane.quotas.isUsingPart,
            countedNewMembers = dataPlane.quotas.membership.countedNewMembers(),
            spare = dataPlane.quotas.spareByWorkspace(dataPlane.now()).mapKeys { it.key.value },
        )

    /** Records what the sender of [heartbeat] reports of the quotas. */
    fun recordPeer(heartbeat: EntryHeartbeat) {
        val isUsingPart = heartbeat.isUsingQuotaPart
        dataPlane.quotas.membership.recordReport(heartbeat.name, isUsingPart, heartbeat.countedNewMembers)
        val spare = heartbeat.spareQuotas.mapKeys { WorkspaceId(it.key) }
        val isNear = heartbeat.availabilityZone == dataPlane.settings.availabilityZone.value
        dataPlane.quotas.recordPeer(heartbeat.name, isNear, spare.takeIf { isUsingPart }, dataPlane.now())
    }

    /** Returns the members that are not known to count this entry; called on other threads. */
    suspend fun awaitedMembers(): Set<String> =
        withContext(dataPlane.loop.asCoroutineDispatcher()) {
            dataPlane.quotas.membership.awaitedMembers(dataPlane.clock.now())
        }

    /** Ends all rounds at once, because the process is about to exit. */
    fun endAll() = waiting.keys.toList().forEach(::end)

    private fun end(number: Long) {
        waiting.remove(number)?.invoke()
    }

    companion object {
        /** Rounds of loans for one request; in a second one other peers are asked for what the first did not bring. */
        const val MAX_ROUNDS = 6

        /** Time for which a request waits for the loans of one round. */
        private const val TIMEOUT_MILLIS = 30L
    }
}

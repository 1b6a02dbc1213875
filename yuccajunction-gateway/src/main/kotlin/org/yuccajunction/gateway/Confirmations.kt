package org.yuccajunction.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import org.yuccajunction.entries.ConfirmationAnswer
import org.yuccajunction.entries.ConfirmationQuestion
import org.yuccajunction.entries.ConfirmationSourceSelector
import org.yuccajunction.model.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * Confirms that the configuration is current.
 *
 * A few entries watch the store, and the others ask those few, which also relay changes to them.
 * Confined to the control thread.
 */
internal class Confirmations(
    private val dataPlane: DataPlane,
    private val controlPlane: ControlPlane,
    private val peers: PeerGossip,
) {
    private val sourceSelector = ConfirmationSourceSelector(dataPlane.settings.name)
    private val behindSince = HashMap<String, MonotonicTime>()
    private var answeredAt: MonotonicTime? = null
    private val knowledge get() = controlPlane.knowledge

    fun start(scope: CoroutineScope) {
        peers.answerQuestion = ::answerQuestion
        peers.acceptAnswer = ::acceptAnswer
        scope.launchRestarting(dataPlane.log, "confirmations") {
            while (true) {
                delay(INTERVAL * Random.nextDouble(MIN_JITTER, MAX_JITTER))
                askNext()
            }
        }
    }

    private fun askNext() {
        val entries = controlPlane.fleet.entries
        controlPlane.confirmsWithStore = sourceSelector.asksStore(entries)
        controlPlane.learnsFromPeers = !controlPlane.confirmsWithStore && isAnsweredByPeers()
        val next = sourceSelector.nextPeer(entries) ?: return
        peers.askForConfirmation(next, knowledge.question(dataPlane.clock.now().nanoseconds))
        if (controlPlane.confirmsWithStore) return
        val age = dataPlane.confirmationAge()
        if (age == null || age > MAX_CONFIRMATION_AGE) controlPlane.refreshConfiguration()
    }

    private fun isAnsweredByPeers(): Boolean = answeredAt?.let { dataPlane.now() - it < MAX_CONFIRMATION_AGE } ?: false

    private fun answerQuestion(question: ConfirmationQuestion): ConfirmationAnswer? {
        val age = dataPlane.confirmationAge()?.takeIf { controlPlane.confirmsWithStore } ?: return null
        return ConfirmationAnswer(
            questionSentAtNanos = question.sentAtNanos,
            confirmationAgeMillis = age.inWholeMilliseconds + 1,
            newestVersions = knowledge.newestChanges(),
            storeEra = controlPlane.storeEra,
            relayedChanges = knowledge.changesFor(question),
        )
    }

    private fun acceptAnswer(answer: ConfirmationAnswer) {
        // A confirmation in the future would let keys count as confirmed after they were taken away.
        if (answer.confirmationAgeMillis < 0 || answer.confirmedAt() > dataPlane.clock.now()) return
        val now = dataPlane.now()
        answeredAt = now
        if (!knowledge.accept(answer)) return
        if (now - answer.confirmedAt() < MAX_AGE_OF_AVAILABILITY) controlPlane.storeSeenByPeer()
        refreshKindsBehind(answer.newestVersions, now)
        if (knowledge.isConfigurationKnown(answer.newestVersions)) dataPlane.recordConfirmation(answer.confirmedAt())
    }

    /** Asks the store for changes that a peer knows and that this entry's own watch has not delivered in time. */
    private fun refreshKindsBehind(newestVersions: Map<String, Long>, now: MonotonicTime) {
        val behind = knowledge.kindsBehind(newestVersions)
        behindSince.keys.retainAll(behind.keys)
        for ((kind, grace) in behind) {
            val since = behindSince.getOrPut(kind) { now }
            if (now - since >= grace) {
                controlPlane.refresh(kind)
                behindSince.remove(kind)
            }
        }
    }

    private companion object {
        val INTERVAL = 400.milliseconds
        const val MIN_JITTER = 0.9
        const val MAX_JITTER = 1.1

        /** Age of the last confirmation from which on this entry asks the store itself. */
        val MAX_CONFIRMATION_AGE = 2_200.milliseconds

        /** Age up to which a peer's confirmation shows that the store is available. */
        val MAX_AGE_OF_AVAILABILITY = 1_200.milliseconds
    }
}

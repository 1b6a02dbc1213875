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
 * Where there are many entries, a few of them ask the store, and the others ask those few.
 * Confined to the control thread.
 */
internal class Confirmations(
    private val dataPlane: DataPlane,
    private val controlPlane: ControlPlane,
    private val peers: PeerGossip,
) {
    private val sourceSelector = ConfirmationSourceSelector(dataPlane.settings.name)
    private val behindSince = HashMap<String, MonotonicTime>()

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
        val next = sourceSelector.nextPeer(entries) ?: return
        peers.askForConfirmation(next, ConfirmationQuestion(dataPlane.clock.now().nanoseconds))
        val age = dataPlane.confirmationAge()
        if (age == null || age > MAX_CONFIRMATION_AGE) controlPlane.refreshConfiguration()
    }

    private fun answerQuestion(question: ConfirmationQuestion): ConfirmationAnswer? {
        val age = dataPlane.confirmationAge()?.takeIf { controlPlane.confirmsWithStore } ?: return null
        return ConfirmationAnswer(
            questionSentAtNanos = question.sentAtNanos,
            confirmationAgeMillis = age.inWholeMilliseconds + 1,
            newestVersions = controlPlane.newestChanges(),
            storeEra = ownEra(),
        )
    }

    private fun acceptAnswer(answer: ConfirmationAnswer) {
        // A confirmation in the future would let keys count as confirmed after they were taken away.
        if (answer.confirmationAgeMillis < 0 || answer.confirmedAt() > dataPlane.clock.now()) return
        if (answer.storeEra > ownEra()) controlPlane.refreshAll()
        if (answer.storeEra != ownEra()) return
        val now = dataPlane.now()
        val behind = controlPlane.kindsBehind(answer.newestVersions)
        behindSince.keys.retainAll(behind.keys)
        for ((kind, gatheringTime) in behind) {
            val since = behindSince.getOrPut(kind) { now }
            if (now - since >= gatheringTime + MAX_WATCH_LAG) {
                controlPlane.refresh(kind)
                behindSince.remove(kind)
            }
        }
        if (controlPlane.isConfigurationKnown(answer.newestVersions)) dataPlane.recordConfirmation(answer.confirmedAt())
    }

    private fun ownEra(): Long = controlPlane.storeEra?.value ?: 0

    private companion object {
        val INTERVAL = 400.milliseconds
        const val MIN_JITTER = 0.9
        const val MAX_JITTER = 1.1

        /** Age of the last confirmation from which on this entry asks the store itself. */
        val MAX_CONFIRMATION_AGE = 2_200.milliseconds

        /** Time in which a watch must deliver a change that a peer already knows, beside the gathering time. */
        val MAX_WATCH_LAG = 500.milliseconds
    }
}

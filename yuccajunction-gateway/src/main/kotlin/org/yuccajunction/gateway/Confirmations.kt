package org.yuccajunction.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.yuccajunction.entries.ConfirmationAnswer
import org.yuccajunction.entries.ConfirmationQuestion
import org.yuccajunction.entries.ConfirmationSourceSelector
import org.yuccajunction.model.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * Lets a few of many entries ask the store whether the configuration is current, and the others ask those.
 *
 * Confined to the control thread.
 */
internal class Confirmations(
    private val dataPlane: DataPlane,
    private val controlPlane: ControlPlane,
    private val peers: PeerGossip,
) {
    private val rounds = ConfirmationSourceSelector(dataPlane.settings.name)
    private val behindSince = HashMap<String, MonotonicTime>()

    fun start(scope: CoroutineScope) {
        peers.answerQuestion = ::answerQuestion
        peers.acceptAnswer = ::acceptAnswer
        scope.launch {
            while (true) {
                delay(INTERVAL * Random.nextDouble(MIN_JITTER, MAX_JITTER))
                askNext()
            }
        }
    }

    private fun askNext() {
        val entries = controlPlane.table.entries
        controlPlane.confirmsWithStore = rounds.asksStore(entries)
        val next = rounds.nextPeer(entries) ?: return
        peers.askForConfirmation(next, ConfirmationQuestion(dataPlane.clock.now().nanoseconds))
        val age = dataPlane.confirmationAge()
        if (age == null || age > MAX_CONFIRMATION_AGE) controlPlane.refreshConfiguration()
    }

    private fun answerQuestion(question: ConfirmationQuestion): ConfirmationAnswer? {
        val age = dataPlane.confirmationAge()?.takeIf { controlPlane.confirmsWithStore } ?: return null
        return ConfirmationAnswer(question.sentAtNanos, age.inWholeMilliseconds + 1, controlPlane.newestChanges())
    }

    private fun acceptAnswer(answer: ConfirmationAnswer) {
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

    private companion object {
        val INTERVAL = 400.milliseconds
        const val MIN_JITTER = 0.9
        const val MAX_JITTER = 1.1

        /** Age of the last confirmation after which this entry asks the store itself. */
        val MAX_CONFIRMATION_AGE = 2_200.milliseconds

        /** Time that a watch may take to tell of a change that another entry knows. */
        val MAX_WATCH_LAG = 500.milliseconds
    }
}

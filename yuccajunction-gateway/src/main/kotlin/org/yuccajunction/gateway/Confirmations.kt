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
internal class Confirmations(private val traffic: Traffic, private val control: Control, private val peers: Peers) {
    private val rounds = ConfirmationSourceSelector(traffic.settings.name)
    private val behindSince = HashMap<String, MonotonicTime>()

    fun start(scope: CoroutineScope) {
        peers.answer = ::answer
        peers.answered = ::answered
        scope.launch {
            while (true) {
                delay(INTERVAL * Random.nextDouble(MIN_JITTER, MAX_JITTER))
                step()
            }
        }
    }

    private fun step() {
        val entries = control.table.entries
        control.isAsker = rounds.asksStore(entries)
        val next = rounds.nextPeer(entries) ?: return
        peers.ask(next, ConfirmationQuestion(traffic.clock.now().nanoseconds))
        val age = traffic.keyAge()
        if (age == null || age > MAX_AGE) control.askForConfiguration()
    }

    private fun answer(question: ConfirmationQuestion): ConfirmationAnswer? {
        val age = traffic.keyAge()?.takeIf { control.isAsker } ?: return null
        return ConfirmationAnswer(question.sentAtNanos, age.inWholeMilliseconds + 1, control.newestChanges())
    }

    private fun answered(answer: ConfirmationAnswer) {
        val now = traffic.now()
        val behind = control.kindsBehind(answer.newestVersions)
        behindSince.keys.retainAll(behind.keys)
        for ((kind, gathering) in behind) {
            val since = behindSince.getOrPut(kind) { now }
            if (now - since >= gathering + MAX_BEHIND) {
                control.ask(kind)
                behindSince.remove(kind)
            }
        }
        if (control.isConfigurationKnown(answer.newestVersions)) traffic.confirmed(answer.confirmedAt())
    }

    private companion object {
        val INTERVAL = 400.milliseconds
        const val MIN_JITTER = 0.9
        const val MAX_JITTER = 1.1

        /** Age of the last confirmation after which this entry asks the store itself. */
        val MAX_AGE = 2_200.milliseconds

        /** Time that a watch may take to tell of a change that another entry knows. */
        val MAX_BEHIND = 500.milliseconds
    }
}

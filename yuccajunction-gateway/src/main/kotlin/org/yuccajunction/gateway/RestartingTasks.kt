package org.yuccajunction.gateway

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.yuccajunction.control.LogEvent
import kotlin.time.Duration.Companion.milliseconds

/** Time from the failure of a control task to its next start, so that a lasting fault does not fill the log. */
private val RESTART_DELAY = 500.milliseconds

/** Launches [block], which runs as long as the process; starts it again after an unexpected exception. */
internal fun CoroutineScope.launchRestarting(log: DecisionLog, name: String, block: suspend () -> Unit): Job =
    launch {
        while (!log.runGuarded(LogEvent.CONTROL_TASK_FAILED, name) { block() }) delay(RESTART_DELAY)
    }

/**
 * Runs [action]; writes [event] about [task] and returns false where it fails with an unexpected exception.
 *
 * An overflow of the stack counts as one, as its cause is the value that [action] works on, not the process.
 */
internal inline fun DecisionLog.runGuarded(event: LogEvent, task: String, action: () -> Unit): Boolean =
    try {
        action()
        true
    } catch (cancellation: CancellationException) {
        throw cancellation
    } catch (@Suppress("TooGenericExceptionCaught") failure: Exception) {
        writeFailure(event, task, failure)
        false
    } catch (failure: StackOverflowError) {
        writeFailure(event, task, failure)
        false
    }

internal fun DecisionLog.writeFailure(event: LogEvent, task: String, failure: Throwable) {
    write(event) {
        field("task", task)
        field("detail", failure)
    }
}

package org.yuccajunction.integration

import kotlin.time.Duration
import kotlin.time.TimeSource

private const val PAUSE_MILLIS = 20L

/** Calls [attempt] until it returns a value; fails with [message] when [within] is over. */
fun <T : Any> poll(within: Duration, message: () -> String, attempt: () -> T?): T {
    val deadline = TimeSource.Monotonic.markNow() + within
    while (true) {
        attempt()?.let { return it }
        check(deadline.hasNotPassedNow()) { "after $within: ${message()}" }
        Thread.sleep(PAUSE_MILLIS)
    }
}

/** Waits until [condition] holds; fails with [message] when [within] is over. */
fun eventually(within: Duration, message: () -> String, condition: () -> Boolean) {
    poll(within, message) { if (condition()) Unit else null }
}

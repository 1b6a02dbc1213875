package org.yuccajunction.overload

/**
 * Why a request is rejected because the event loop of the entry is late.
 *
 * @property code stable name of the cause in logs and metrics
 */
public enum class OverloadCause(public val code: String) {
    /** The deadline of the request has passed, or passes before a server could answer. */
    DEADLINE_PASSED("deadline-passed"),

    /** The answer can't arrive within the latency target. */
    TOO_OLD("too-old"),

    /** More urgent or newer requests have taken the time of the event loop. */
    CROWDED_OUT("crowded-out"),

    /** Too many requests wait for their admission. */
    QUEUE_FULL("queue-full"),
}

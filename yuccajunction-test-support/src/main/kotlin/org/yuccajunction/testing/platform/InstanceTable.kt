package org.yuccajunction.testing.platform

import kotlinx.serialization.Serializable
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.PlatformInstance

/** Response body of the instance list. */
@Serializable
internal data class InstanceRows(val instances: List<PlatformInstance>)

/** The instance list and its history, from which a lagging list is answered. */
internal class InstanceTable(private val nanoTime: () -> Long) {
    private data class State(val sinceNanos: Long, val instances: Map<InstanceId, PlatformInstance>)

    private val history = ArrayDeque(listOf(State(nanoTime(), emptyMap())))
    private var shownUpToNanos = nanoTime()

    /** Replaces the instances by the result of [change]. */
    @Synchronized
    fun update(change: (Map<InstanceId, PlatformInstance>) -> Map<InstanceId, PlatformInstance>) {
        history.addLast(State(nanoTime(), change(history.last().instances)))
    }

    /** Returns the list as of [lagMillis] milliseconds ago, but never an older list than one returned before. */
    @Synchronized
    fun read(lagMillis: Long): InstanceRows {
        shownUpToNanos = maxOf(shownUpToNanos, nanoTime() - lagMillis * NANOSECONDS_IN_MILLISECOND)
        val state = history.last { it.sinceNanos <= shownUpToNanos }
        return InstanceRows(state.instances.values.toList())
    }

    private companion object {
        const val NANOSECONDS_IN_MILLISECOND = 1_000_000L
    }
}

package org.yuccajunction.testing.platform

import kotlinx.serialization.Serializable
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.PlatformInstance

/** The answer of the instance list. */
@Serializable
internal data class InstanceRows(val instances: List<PlatformInstance>)

/** The instance list with its history, so that an older state can be answered. */
internal class InstanceTable(private val nanoTime: () -> Long) {
    private data class State(val sinceNanos: Long, val instances: Map<InstanceId, PlatformInstance>)

    private val history = ArrayDeque(listOf(State(nanoTime(), emptyMap())))
    private var shownUpToNanos = nanoTime()

    @Synchronized
    fun update(change: (Map<InstanceId, PlatformInstance>) -> Map<InstanceId, PlatformInstance>) {
        history.addLast(State(nanoTime(), change(history.last().instances)))
    }

    /** Returns the list as it was [lagMillis] milliseconds ago, but never older than one returned before. */
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

package org.yuccajunction.gateway

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import org.yuccajunction.control.LogEvent

/**
 * Whether the platform's store answers this entry.
 *
 * While it does not, only the follower of the configuration goes on asking.
 */
internal class StoreHealth(private val log: DecisionLog) {
    private val up = MutableStateFlow(true)

    val isUp: StateFlow<Boolean> get() = up

    fun answered() {
        if (up.value) return
        up.value = true
        log.write(LogEvent.STORE_AVAILABLE)
    }

    fun failed(detail: String) {
        if (!up.value) return
        up.value = false
        log.write(LogEvent.STORE_UNAVAILABLE) { field("detail", detail) }
    }

    suspend fun awaitUp() {
        up.first { it }
    }

    suspend fun awaitDown() {
        up.first { !it }
    }
}

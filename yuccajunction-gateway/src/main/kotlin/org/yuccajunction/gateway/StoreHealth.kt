package org.yuccajunction.gateway

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import org.yuccajunction.control.LogEvent

/**
 * Records whether the platform's store answers this entry.
 *
 * While the store is unavailable, only the follower of the configuration goes on asking.
 */
internal class StoreHealth(private val log: DecisionLog) {
    private val available = MutableStateFlow(true)

    val isAvailable: StateFlow<Boolean> get() = available

    fun storeAnswered() {
        if (available.value) return
        available.value = true
        log.write(LogEvent.STORE_AVAILABLE)
    }

    fun storeFailed(detail: String) {
        if (!available.value) return
        available.value = false
        log.write(LogEvent.STORE_UNAVAILABLE) { field("detail", detail) }
    }

    suspend fun awaitAvailable() {
        available.first { it }
    }

    suspend fun awaitUnavailable() {
        available.first { !it }
    }
}

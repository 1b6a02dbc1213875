package org.yuccajunction.gateway

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccajunction.control.LogEvent
import org.yuccajunction.port.ExpectedVersion
import org.yuccajunction.port.ObjectListing
import org.yuccajunction.port.ObjectReading
import org.yuccajunction.port.ObjectWriting
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Registers this entry in the store and lists the registrations of all entries. Confined to the control thread. */
internal class EntryRegistrations(
    ports: GatewayPorts,
    private val settings: GatewaySettings,
    private val log: DecisionLog,
) {
    private val store = ports.store
    private val era = ports.storeEra
    private var registeredInEra = StoreEra.UNKNOWN

    /**
     * Registers this entry, then lists the registrations of all entries again and again.
     *
     * The write comes first, so that of two entries that start together at least one finds the other. The first list is
     * up to date for the same reason. Later ones only rejoin groups of entries that have lost each other, so they may
     * be old, and a few entries of each group suffice. After the store was restored from an older copy, this entry
     * registers again.
     *
     * @param isWatching returns whether this entry is one of those that ask the store for all others that it knows
     * @param addRegistration receives the name and address of each registered entry
     */
    suspend fun follow(isWatching: () -> Boolean, addRegistration: (name: String, address: String) -> Unit) {
        while (true) {
            register()
            listUpToDate(addRegistration)
            while (!hasEraRisen(LIST_INTERVAL * Random.nextDouble(MIN_JITTER, 1.0))) {
                if (isWatching()) list(addRegistration, mayBeOld = true)
            }
            // Spreads the writes, because all entries learn of a risen era at about the same time.
            delay(RETRY_DELAY * Random.nextDouble())
        }
    }

    private suspend fun hasEraRisen(within: Duration): Boolean {
        val risen = withTimeoutOrNull(within) { era.current.first { era.hasRisenSince(registeredInEra) } }
        return risen != null
    }

    private suspend fun register() {
        while (true) {
            val writing = writeRegistration()
            registeredInEra = era.current.value
            if (writing is ObjectWriting.Written) return
            retryLater("write", writing)
        }
    }

    private suspend fun listUpToDate(addRegistration: (name: String, address: String) -> Unit) {
        while (!list(addRegistration, mayBeOld = false)) delay(RETRY_DELAY)
    }

    private suspend fun list(addRegistration: (String, String) -> Unit, mayBeOld: Boolean): Boolean {
        val listing = if (mayBeOld) store.listPossiblyOld(KIND) else store.list(KIND)
        if (listing !is ObjectListing.Listed) {
            logFailure("list", listing)
            return false
        }
        for (stored in listing.objects) {
            val address = stored.value?.trim('"') ?: continue
            addRegistration(stored.key.substringAfter('/'), address)
        }
        return true
    }

    private suspend fun retryLater(call: String, outcome: Any) {
        logFailure(call, outcome)
        delay(RETRY_DELAY)
    }

    private fun logFailure(call: String, outcome: Any) {
        log.write(LogEvent.REGISTRATION_FAILED) {
            field("call", call)
            field("outcome", outcome)
        }
    }

    private suspend fun writeRegistration(): ObjectWriting {
        val key = "$KIND/${settings.name}"
        val value = "\"${settings.peerEndpoint}\""
        val writing = store.write(key, value, ExpectedVersion.Absent)
        if (writing is ObjectWriting.Written) return writing
        val stored = (store.read(key) as? ObjectReading.Found)?.stored ?: return writing
        if (stored.value == value) return ObjectWriting.Written(stored.version)
        return store.write(key, value, ExpectedVersion.Is(stored.version))
    }

    private companion object {
        const val KIND = "entry-registrations"
        const val MIN_JITTER = 0.8
        val RETRY_DELAY = 500.milliseconds
        val LIST_INTERVAL = 25.seconds
    }
}

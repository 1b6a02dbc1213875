package org.yuccajunction.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.netty.util.NetUtil
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccajunction.control.LogEvent
import org.yuccajunction.model.Endpoint
import org.yuccajunction.port.ExpectedVersion
import org.yuccajunction.port.ObjectListing
import org.yuccajunction.port.ObjectReading
import org.yuccajunction.port.ObjectStore
import org.yuccajunction.port.ObjectWriting
import org.yuccajunction.port.StoreEra
import org.yuccajunction.port.StoredObject
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The registrations in the store by which entries find each other.
 *
 * Confined to the control thread.
 *
 * @property name instance name of this entry
 * @property peerEndpoint address for datagrams of peers
 * @property onRegistration receives the name and the address of each registered entry
 */
internal class EntryRegistrations(
    private val store: ObjectStore,
    private val log: DecisionLog,
    private val name: String,
    private val peerEndpoint: Endpoint,
    private val onRegistration: (name: String, address: String) -> Unit,
) {
    private val decoder = StoredObjectDecoder(log)

    /**
     * Registers this entry in the store, then lists the registrations of all entries again and again.
     *
     * The write comes first, so that of two entries that start together at least one finds the other. After a restore
     * of the store, which may have undone the registration, this entry registers again.
     */
    suspend fun follow() {
        while (true) {
            val writing = writeRegistration()
            if (writing is ObjectWriting.Written) listRegistrationsOf(store.era) else retryLater("write", writing)
        }
    }

    private suspend fun listRegistrationsOf(era: StoreEra?) {
        while (store.era == era) {
            when (val listing = store.list(KIND)) {
                is ObjectListing.Listed -> {
                    listing.objects.forEach(::report)
                    withTimeoutOrNull(LIST_INTERVAL) {
                        while (store.era == era) delay(ERA_CHECK_INTERVAL)
                    }
                }
                else -> retryLater("list", listing)
            }
        }
    }

    private fun report(stored: StoredObject) {
        val address = decoder.decodeOrWrite(stored, ::decodeAddress) ?: return
        onRegistration(stored.key.substringAfter('/'), address.toString())
    }

    /** Returns the address in [stored]; a host name is none, since looking it up would block the control thread. */
    private fun decodeAddress(stored: StoredObject): Either<String, Endpoint> {
        val text = stored.value.orEmpty()
        val entry = stored.key.substringAfter('/')
        val endpoint = Endpoint.parse(text.removeSurrounding("\""))
        return when {
            entry.isBlank() || entry.length > MAX_NAME_LENGTH -> "name is blank or too long".left()
            endpoint == null || !endpoint.isNumeric() -> "not an IP address and a port: $text".left()
            else -> endpoint.right()
        }
    }

    private fun Endpoint.isNumeric(): Boolean =
        port > 0 && (NetUtil.isValidIpV4Address(host) || NetUtil.isValidIpV6Address(host))

    private suspend fun retryLater(call: String, outcome: Any) {
        log.write(LogEvent.REGISTRATION_FAILED) {
            field("call", call)
            field("outcome", outcome)
        }
        delay(RETRY_DELAY)
    }

    private suspend fun writeRegistration(): ObjectWriting {
        val key = "$KIND/$name"
        val value = "\"$peerEndpoint\""
        val writing = store.write(key, value, ExpectedVersion.Absent)
        if (writing is ObjectWriting.Written) return writing
        val stored = (store.read(key) as? ObjectReading.Found)?.stored ?: return writing
        if (stored.value == value) return ObjectWriting.Written(stored.version)
        return store.write(key, value, ExpectedVersion.Is(stored.version))
    }

    private companion object {
        const val KIND = "entry-registrations"

        /** Names of entries go into each heartbeat. */
        const val MAX_NAME_LENGTH = 1_024
        val RETRY_DELAY = 500.milliseconds
        val LIST_INTERVAL = 20.seconds
        val ERA_CHECK_INTERVAL = 1.seconds
    }
}

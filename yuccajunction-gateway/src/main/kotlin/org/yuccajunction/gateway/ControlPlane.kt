package org.yuccajunction.gateway

import arrow.core.Either
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.yuccajunction.control.LogEvent
import org.yuccajunction.fleet.FleetSnapshot
import org.yuccajunction.fleet.ServerList
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.port.FleetSource
import org.yuccajunction.port.ObjectStore
import org.yuccajunction.port.StoredObject
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Follows the platform's store and publishes what this entry believes to the traffic thread.
 *
 * Confined to the control thread.
 */
internal class ControlPlane(
    private val dataPlane: DataPlane,
    private val store: ObjectStore,
    private val source: FleetSource,
    private val log: DecisionLog,
) {
    private val health = StoreHealth(log)
    private val servers = ServerList()
    private val drainedZones = HashSet<AvailabilityZone>()

    var table = FleetSnapshot()
        private set

    private val configurationFollower =
        follower(
            source.configurationKind,
            watchTimeout = ::configurationWatchTimeout,
            isHealthProbe = true,
        ) { _, objects -> acceptConfigurations(objects) }
    private val serverFollower =
        follower(
            source.serverKind,
            gatheringTime = dataPlane.settings.bounds.drainDelay * GATHERING_FRACTION,
        ) { isFullList, objects -> if (isFullList) replaceServers(objects) else updateServers(objects) }
    private val drainFollower =
        follower(source.drainKind) { isFullList, objects ->
            if (isFullList) replaceDrains(objects) else updateDrains(objects)
        }

    /** Whether this entry asks the store all the time whether the configuration is current; see [Confirmations]. */
    var confirmsWithStore = true
        set(value) {
            if (value && !field) configurationFollower.refresh()
            field = value
        }

    fun start(scope: CoroutineScope) {
        followers().forEach { follower -> scope.launch { follower.follow() } }
        scope.launch { watchHealth() }
        scope.launch { runHousekeeping() }
    }

    private fun followers() = listOf(configurationFollower, serverFollower, drainFollower)

    private fun follower(
        kind: String,
        watchTimeout: () -> Duration = { WATCH_TIMEOUT },
        isHealthProbe: Boolean = false,
        gatheringTime: Duration = Duration.ZERO,
        accept: (isFullList: Boolean, objects: List<StoredObject>) -> Unit,
    ) = StoreFollower(
        store = store,
        health = health,
        log = log,
        clock = dataPlane.clock,
        kind = kind,
        watchTimeout = watchTimeout,
        isHealthProbe = isHealthProbe,
        gatheringTime = gatheringTime,
        onListed = { accept(true, it) },
        onChanged = { accept(false, it) },
        onConfirmed = { if (isHealthProbe) dataPlane.recordConfirmation(it) },
    )

    private fun configurationWatchTimeout(): Duration =
        if (confirmsWithStore) CONFIRMING_WATCH_TIMEOUT else WATCH_TIMEOUT

    /** Returns the version of the newest change of each kind that is known here. */
    fun newestChanges(): Map<String, Long> = followers().associate { it.kind to it.newestChange.value }

    /**
     * Returns the kinds of which another entry knows changes that are not known here, by its versions in
     * [knownElsewhere], each with the time for which changes of that kind gather here.
     */
    fun kindsBehind(knownElsewhere: Map<String, Long>): Map<String, Duration> =
        followers()
            .filter { (knownElsewhere[it.kind] ?: 0) > (it.version?.value ?: 0) }
            .associate { it.kind to it.gatheringTime }

    /** Returns whether this entry knows the newest configuration that another entry knew, by [knownElsewhere]. */
    fun isConfigurationKnown(knownElsewhere: Map<String, Long>): Boolean {
        val known = configurationFollower.version ?: return false
        val newest = knownElsewhere[configurationFollower.kind] ?: return false
        return newest <= known.value
    }

    /** Asks the store at once for changes of [kind]. */
    fun refresh(kind: String) {
        followers().filter { it.kind == kind }.forEach { it.refresh() }
    }

    /** Asks the store at once whether the configuration is still current. */
    fun refreshConfiguration() = configurationFollower.refresh()

    private fun acceptConfigurations(objects: List<StoredObject>) {
        for (stored in objects.filter { it.value != null }) {
            val read = decodeOrLog(stored, source::configuration) ?: continue
            val current = table.configuration
            if (current != null && read.revision < current.revision) {
                log.write(LogEvent.DEPLOYMENT_IGNORED) {
                    field("revision", read.revision)
                    field("current", current.revision)
                }
                continue
            }
            log.write(LogEvent.DEPLOYMENT_ACCEPTED) {
                field("revision", read.revision)
                field("routes", read.routes.size)
            }
            publish(table.copy(configuration = read))
        }
    }

    private fun replaceServers(objects: List<StoredObject>) {
        val now = dataPlane.now()
        servers.replace(objects.mapNotNull { stored -> decodeOrLog(stored) { source.server(it, now) } }, now)
        publishServers()
    }

    private fun updateServers(objects: List<StoredObject>) {
        val now = dataPlane.now()
        for (stored in objects) {
            if (stored.value == null) {
                val id = BackendServerId(stored.key.substringAfter('/'))
                servers.registrationRemoved(id, now)
                log.write(LogEvent.SERVER_UNLISTED) { field("server", id) }
            } else {
                decodeOrLog(stored) { source.server(it, now) }?.let(servers::put)
            }
        }
        publishServers()
    }

    private fun publishServers() {
        if (table.servers == servers.servers) return
        val changed = servers.servers.values.filter { table.servers[it.id] != it }
        publish(table.copy(servers = servers.servers))
        for (server in changed) {
            log.write(LogEvent.SERVER_LISTED) {
                field("server", server.id)
                field("service", server.service)
                field("zone", server.availabilityZone)
                field("leaving", server.isDraining)
                field("cold", server.isCold(dataPlane.now()))
            }
        }
    }

    private fun replaceDrains(objects: List<StoredObject>) {
        drainedZones.clear()
        updateDrains(objects)
    }

    private fun updateDrains(objects: List<StoredObject>) {
        for (stored in objects) {
            val zone = decodeOrLog(stored, source::drainedZone) ?: continue
            if (stored.value == null) drainedZones -= zone else drainedZones += zone
        }
        if (drainedZones == table.drainedAvailabilityZones) return
        log.write(LogEvent.ZONES_DRAINED) { field("zones", drainedZones.joinToString(",")) }
        publish(table.copy(drainedAvailabilityZones = drainedZones.toPersistentSet()))
    }

    /** The live entries are now those with [names]. */
    fun updateEntries(names: List<String>) {
        if (names == table.entries) return
        log.write(LogEvent.ENTRIES_CHANGED) { field("entries", names.joinToString(",")) }
        publish(table.copy(entries = names.toPersistentList()))
    }

    private fun <T : Any> decodeOrLog(stored: StoredObject, decode: (StoredObject) -> Either<String, T>): T? =
        when (val decoded = decode(stored)) {
            is Either.Right -> decoded.value
            is Either.Left -> {
                log.write(LogEvent.OBJECT_UNREADABLE) {
                    field("key", stored.key)
                    field("version", stored.version)
                    field("detail", decoded.value)
                }
                null
            }
        }

    private fun publish(table: FleetSnapshot) {
        this.table = table
        dataPlane.loop.execute { dataPlane.update(table) }
    }

    private suspend fun watchHealth() {
        while (true) {
            health.awaitUnavailable()
            servers.storeLost()
            health.awaitAvailable()
            servers.storeReturned(dataPlane.now())
        }
    }

    private suspend fun runHousekeeping() {
        while (true) {
            delay(HOUSEKEEPING_INTERVAL)
            if (servers.removeExpired(dataPlane.now())) publishServers()
            dataPlane.loop.execute(dataPlane::closeIdleConnections)
        }
    }

    /** Returns whether callers should be sent here. */
    fun isReady(): Boolean {
        val age = dataPlane.confirmationAge() ?: return false
        val isServing = dataPlane.stoppingSince == null && table.configuration != null && table.servers.isNotEmpty()
        return isServing && age < dataPlane.settings.bounds.maxConfirmationAge * READY_AGE_FRACTION
    }

    /** Reads the steady clock. */
    fun now(): MonotonicTime = dataPlane.now()

    private companion object {
        val CONFIRMING_WATCH_TIMEOUT: Duration = 800.milliseconds
        val WATCH_TIMEOUT: Duration = 20.seconds

        /** Part of the time in which an entry must heed that a server leaves for which changes of servers gather. */
        const val GATHERING_FRACTION = 0.28
        val HOUSEKEEPING_INTERVAL: Duration = 500.milliseconds
        const val READY_AGE_FRACTION = 0.7
    }
}

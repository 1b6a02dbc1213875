package org.yuccajunction.gateway

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import org.yuccajunction.control.LogEvent
import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.fleet.FleetSnapshot
import org.yuccajunction.fleet.ServerList
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.port.FleetSource
import org.yuccajunction.port.ObjectStore
import org.yuccajunction.port.StoreEra
import org.yuccajunction.port.StoredObject
import org.yuccajunction.rollout.VersionPolicy
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Follows the configuration, the backend servers, the drained availability zones and the orders to move services in
 * the platform's store.
 *
 * Each change is published to the traffic thread as a new immutable [FleetSnapshot].
 * Confined to the control thread.
 */
internal class ControlPlane(
    private val dataPlane: DataPlane,
    private val store: ObjectStore,
    private val source: FleetSource,
    private val log: DecisionLog,
) {
    /** Carries out orders to move services to other versions; set before [start]. */
    lateinit var rollouts: Rollouts
    private val health = StoreHealth(log)
    private val servers = ServerList()
    private val decoder = StoredObjectDecoder(log)
    private val drainedZones = DrainedZones(source, decoder)

    var fleet = FleetSnapshot()
        private set

    private val configurationFollower: StoreFollower =
        follower(
            source.configurationKind,
            watchTimeout = ::configurationWatchTimeout,
            isHealthProbe = true,
        ) { _, objects -> acceptConfigurations(objects) }
    private val serverFollower: StoreFollower =
        follower(
            source.serverKind,
            gatheringTime = dataPlane.settings.bounds.drainDelay * GATHERING_FRACTION,
            onRestored = { servers.storeRestored(dataPlane.now()) },
        ) { isFullList, objects -> if (isFullList) replaceServers(objects) else updateServers(objects) }
    private val drainFollower: StoreFollower =
        follower(source.drainKind) { isFullList, objects -> publishDrains(drainedZones.accept(isFullList, objects)) }

    private val rolloutFollower: StoreFollower =
        follower(source.rolloutKind, onRestored = { rollouts.storeRestored() }) { isFullList, objects ->
            rollouts.accept(isFullList, objects)
        }

    /**
     * Whether the store, not a peer, confirms to this entry that the configuration is current; set by [Confirmations].
     *
     * When the value becomes true, this entry asks the store at once.
     */
    var confirmsWithStore = true
        set(value) {
            if (value && !field) configurationFollower.refresh()
            field = value
        }

    /** Whether the store has answered the newest call for the configuration. */
    val isStoreAvailable: Boolean get() = health.isAvailable.value

    fun start(scope: CoroutineScope) {
        followers().forEach { follower ->
            scope.launchRestarting(log, "follower of ${follower.kind}") { follower.follow() }
        }
        scope.launchRestarting(log, "health") { watchHealth() }
        scope.launchRestarting(log, "housekeeping") { runHousekeeping() }
    }

    private fun followers(): List<StoreFollower> =
        listOf(configurationFollower, serverFollower, drainFollower, rolloutFollower)

    /**
     * Returns a follower of the objects of [kind].
     *
     * Only the configuration's follower is a health probe, so only its calls confirm the configuration.
     */
    private fun follower(
        kind: String,
        watchTimeout: () -> Duration = { WATCH_TIMEOUT },
        isHealthProbe: Boolean = false,
        gatheringTime: Duration = Duration.ZERO,
        onRestored: () -> Unit = {},
        accept: (isFullList: Boolean, objects: List<StoredObject>) -> Unit,
    ): StoreFollower = StoreFollower(
        store = store,
        health = health,
        log = log,
        clock = dataPlane.clock,
        kind = kind,
        watchTimeout = watchTimeout,
        isHealthProbe = isHealthProbe,
        gatheringTime = gatheringTime,
        onRestored = {
            onRestored()
            refreshAll()
        },
        onListed = { accept(true, it) },
        onChanged = { accept(false, it) },
        onConfirmed = { if (isHealthProbe) dataPlane.recordConfirmation(it) },
    )

    private fun configurationWatchTimeout(): Duration =
        if (confirmsWithStore) CONFIRMING_WATCH_TIMEOUT else WATCH_TIMEOUT

    /** Era of the store in which the versions that this entry compares with those of its peers count. */
    val storeEra: StoreEra? get() = configurationFollower.era

    /** Returns the store version of the last change that this entry received in [storeEra], by kind of object. */
    fun newestChanges(): Map<String, Long> =
        followers().filter { it.era == storeEra }.associate { it.kind to it.newestChange.value }

    /**
     * Returns the kinds of object of which a peer knows changes that this entry does not know.
     *
     * [knownElsewhere] holds the versions of the newest changes that the peer knows, by kind. They are compared with
     * the store version up to which this entry knows all changes. Each returned kind is mapped to the delay after which
     * this entry watches for further changes of that kind, so that one watch returns several.
     */
    fun kindsBehind(knownElsewhere: Map<String, Long>): Map<String, Duration> =
        followers()
            .filter { (knownElsewhere[it.kind] ?: 0) > (it.version?.value ?: 0) }
            .associate { it.kind to it.gatheringTime }

    /** Returns whether this entry knows the configuration that a peer knows, by the versions in [knownElsewhere]. */
    fun isConfigurationKnown(knownElsewhere: Map<String, Long>): Boolean {
        val known = configurationFollower.version ?: return false
        val newest = knownElsewhere[configurationFollower.kind] ?: return false
        return newest <= known.value
    }

    /** Asks the store at once for changes of the objects of [kind]. */
    fun refresh(kind: String) {
        followers().filter { it.kind == kind }.forEach { it.refresh() }
    }

    /** Asks the store at once for changes of all kinds, after a restore that a peer has seen first. */
    fun refreshAll() = followers().forEach { it.refresh() }

    /** Asks the store at once whether the configuration is still current. */
    fun refreshConfiguration() = configurationFollower.refresh()

    /**
     * Accepts each configuration in [objects] unless it is older than the one in force.
     *
     * One that is removed or can't be read orders nothing, so the one in force stays.
     */
    private fun acceptConfigurations(objects: List<StoredObject>) {
        for (stored in objects.filter { it.value != null }) {
            val read = decoder.decodeOrWrite(stored, source::decodeConfiguration) ?: continue
            val current = fleet.configuration
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
            publish(fleet.copy(configuration = read))
        }
    }

    private fun replaceServers(objects: List<StoredObject>) {
        val now = dataPlane.now()
        servers.replace(objects.mapNotNull { decodeServer(it, now) }, now)
        publishServers()
    }

    /**
     * Accepts changed registrations; a removed one has no value.
     *
     * One that can't be read names no server to use, as if it had been removed, here as in a full list: callers lose
     * less by that, since a live server registers again, than by requests to a server that may be leaving.
     */
    private fun updateServers(objects: List<StoredObject>) {
        val now = dataPlane.now()
        for (stored in objects) {
            if (stored.value == null) decoder.forget(stored)
            val server = if (stored.value == null) null else decodeServer(stored, now)
            if (server == null) removeServer(stored.key.substringAfter('/'), now) else servers.put(server)
        }
        publishServers()
    }

    private fun decodeServer(stored: StoredObject, now: MonotonicTime): BackendServer? =
        decoder.decodeOrWrite(stored) { source.decodeServer(it, now) }

    private fun removeServer(name: String, now: MonotonicTime) {
        val id = if (name.isBlank()) return else BackendServerId(name)
        if (id !in servers.servers) return
        servers.registrationRemoved(id, now)
        log.write(LogEvent.SERVER_UNLISTED) { field("server", id) }
    }

    private fun publishServers() {
        if (fleet.servers == servers.servers) return
        val changed = servers.servers.values.filter { fleet.servers[it.id] != it }
        publish(fleet.copy(servers = servers.servers))
        rollouts.publishPolicy()
        for (server in changed) {
            log.write(LogEvent.SERVER_LISTED) {
                field("server", server.id)
                field("service", server.service)
                field("version", server.version)
                field("zone", server.availabilityZone)
                field("leaving", server.isDraining)
                field("cold", server.isCold(dataPlane.now()))
            }
        }
    }

    private fun publishDrains(zones: PersistentSet<AvailabilityZone>) {
        if (zones == fleet.drainedAvailabilityZones) return
        log.write(LogEvent.ZONES_DRAINED) { field("zones", zones.joinToString(",")) }
        publish(fleet.copy(drainedAvailabilityZones = zones))
    }

    /** Publishes which versions of the services may get requests. */
    fun updateVersions(versions: VersionPolicy) {
        if (versions != fleet.versions) publish(fleet.copy(versions = versions))
    }

    /** Publishes [names] as the live entries, this one included. */
    fun updateEntries(names: List<String>) {
        if (names == fleet.entries) return
        log.write(LogEvent.ENTRIES_CHANGED) { field("entries", names.joinToString(",")) }
        publish(fleet.copy(entries = names.toPersistentList()))
    }

    private fun publish(fleet: FleetSnapshot) {
        this.fleet = fleet
        dataPlane.loop.execute { dataPlane.update(fleet) }
    }

    /** Informs the server list of store outages, in which registrations of servers that are alive expire. */
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

    /** Returns whether callers should be sent to this entry. */
    fun isReady(): Boolean {
        val age = dataPlane.confirmationAge() ?: return false
        val isServing = dataPlane.shutdown.since == null && fleet.configuration != null && fleet.servers.isNotEmpty()
        return isServing && age < dataPlane.settings.bounds.maxConfirmationAge * READY_AGE_FRACTION
    }

    /** Reads the monotonic clock. */
    fun now(): MonotonicTime = dataPlane.now()

    private companion object {
        /** Timeout of a configuration watch whose answer also confirms that the configuration is current. */
        val CONFIRMING_WATCH_TIMEOUT: Duration = 800.milliseconds
        val WATCH_TIMEOUT: Duration = 20.seconds

        /** Delay from a change of backend servers to the next watch, as a fraction of [GatewayBounds.drainDelay]. */
        const val GATHERING_FRACTION = 0.28
        val HOUSEKEEPING_INTERVAL: Duration = 500.milliseconds

        /** Fraction of [GatewayBounds.maxConfirmationAge] up to which this entry is ready, by the last confirmation. */
        const val READY_AGE_FRACTION = 0.7
    }
}

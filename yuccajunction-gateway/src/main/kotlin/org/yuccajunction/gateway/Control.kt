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
internal class Control(
    private val traffic: Traffic,
    private val store: ObjectStore,
    private val source: FleetSource,
    private val log: DecisionLog,
) {
    private val health = StoreHealth(log)
    private val servers = ServerList()
    private val drained = HashSet<AvailabilityZone>()

    var table = FleetSnapshot()
        private set

    private val configurations =
        follower(source.configurationKind, wait = ::configurationWait, isProbe = true) { _, objects ->
            configurationsChanged(objects)
        }
    private val backendServers =
        follower(source.serverKind, pause = traffic.settings.bounds.leaveDelay * GATHERING_SHARE) { isWhole, objects ->
            if (isWhole) serversListed(objects) else serversChanged(objects)
        }
    private val drains =
        follower(source.drainKind) { isWhole, objects ->
            if (isWhole) drainsListed(objects) else drainsChanged(objects)
        }

    /** Whether this entry asks the store all the time whether the configuration is current; see [Confirmations]. */
    var isAsker = true
        set(value) {
            if (value && !field) configurations.ask()
            field = value
        }

    fun start(scope: CoroutineScope) {
        followers().forEach { follower -> scope.launch { follower.run() } }
        scope.launch { watchHealth() }
        scope.launch { housekeep() }
    }

    private fun followers() = listOf(configurations, backendServers, drains)

    private fun follower(
        kind: String,
        wait: () -> Duration = { LIST_WAIT },
        isProbe: Boolean = false,
        pause: Duration = Duration.ZERO,
        takeOver: (isWhole: Boolean, objects: List<StoredObject>) -> Unit,
    ) = StoreFollower(
        store = store,
        health = health,
        log = log,
        clock = traffic.clock,
        kind = kind,
        wait = wait,
        isProbe = isProbe,
        pause = pause,
        listed = { takeOver(true, it) },
        changed = { takeOver(false, it) },
        confirmed = { if (isProbe) traffic.confirmed(it) },
    )

    private fun configurationWait(): Duration = if (isAsker) CONFIGURATION_WAIT else LIST_WAIT

    /** Returns the version of the newest change of each kind that is known here. */
    fun newestChanges(): Map<String, Long> = followers().associate { it.kind to it.newestChange.value }

    /**
     * Returns the kinds of which another entry knows changes that are not known here, by what it [told], each with the
     * time for which changes of that kind gather here.
     */
    fun kindsBehind(told: Map<String, Long>): Map<String, Duration> =
        followers()
            .filter { (told[it.kind] ?: 0) > (it.version?.value ?: 0) }
            .associate { it.kind to it.pause }

    /** Returns whether this entry knows the newest configuration that another entry knew when it [told] so. */
    fun isConfigurationKnown(told: Map<String, Long>): Boolean {
        val known = configurations.version ?: return false
        val newest = told[configurations.kind] ?: return false
        return newest <= known.value
    }

    /** Asks the store at once for changes of [kind]. */
    fun ask(kind: String) {
        followers().filter { it.kind == kind }.forEach { it.ask() }
    }

    /** Asks the store at once whether the configuration is still current. */
    fun askForConfiguration() = configurations.ask()

    private fun configurationsChanged(objects: List<StoredObject>) {
        for (stored in objects.filter { it.value != null }) {
            val read = read(stored, source::configuration) ?: continue
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

    private fun serversListed(objects: List<StoredObject>) {
        val now = traffic.now()
        servers.replace(objects.mapNotNull { stored -> read(stored) { source.server(it, now) } }, now)
        publishServers()
    }

    private fun serversChanged(objects: List<StoredObject>) {
        val now = traffic.now()
        for (stored in objects) {
            if (stored.value == null) {
                val id = BackendServerId(stored.key.substringAfter('/'))
                servers.registrationRemoved(id, now)
                log.write(LogEvent.SERVER_UNLISTED) { field("server", id) }
            } else {
                read(stored) { source.server(it, now) }?.let(servers::put)
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
                field("cold", server.isCold(traffic.now()))
            }
        }
    }

    private fun drainsListed(objects: List<StoredObject>) {
        drained.clear()
        drainsChanged(objects)
    }

    private fun drainsChanged(objects: List<StoredObject>) {
        for (stored in objects) {
            val zone = read(stored, source::drainedZone) ?: continue
            if (stored.value == null) drained -= zone else drained += zone
        }
        if (drained == table.drainedAvailabilityZones) return
        log.write(LogEvent.ZONES_DRAINED) { field("zones", drained.joinToString(",")) }
        publish(table.copy(drainedAvailabilityZones = drained.toPersistentSet()))
    }

    /** The live entries are now those with [names]. */
    fun entriesChanged(names: List<String>) {
        if (names == table.entries) return
        log.write(LogEvent.ENTRIES_CHANGED) { field("entries", names.joinToString(",")) }
        publish(table.copy(entries = names.toPersistentList()))
    }

    private fun <T : Any> read(stored: StoredObject, decode: (StoredObject) -> Either<String, T>): T? =
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
        traffic.loop.execute { traffic.update(table) }
    }

    private suspend fun watchHealth() {
        while (true) {
            health.awaitDown()
            servers.storeLost()
            health.awaitUp()
            servers.storeReturned(traffic.now())
        }
    }

    private suspend fun housekeep() {
        while (true) {
            delay(HOUSEKEEPING_INTERVAL)
            if (servers.removeExpired(traffic.now())) publishServers()
            traffic.loop.execute(traffic::sweep)
        }
    }

    /** Returns whether callers should be sent here. */
    fun isReady(): Boolean {
        val age = traffic.keyAge() ?: return false
        val isServing = traffic.stoppingSince == null && table.configuration != null && table.servers.isNotEmpty()
        return isServing && age < traffic.settings.bounds.keyLifetime * READY_SHARE
    }

    /** Reads the steady clock. */
    fun now(): MonotonicTime = traffic.now()

    private companion object {
        val CONFIGURATION_WAIT: Duration = 800.milliseconds
        val LIST_WAIT: Duration = 20.seconds

        /** Part of the time in which an entry must heed that a server leaves for which changes of servers gather. */
        const val GATHERING_SHARE = 0.28
        val HOUSEKEEPING_INTERVAL: Duration = 500.milliseconds
        const val READY_SHARE = 0.7
    }
}

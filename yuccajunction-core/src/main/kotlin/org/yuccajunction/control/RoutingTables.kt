package org.yuccajunction.control

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.yuccajunction.document.ApplicationSection
import org.yuccajunction.document.Deployment
import org.yuccajunction.document.ModelSection
import org.yuccajunction.document.WorkspaceRule
import org.yuccajunction.membership.EntryState
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.ServiceKind
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion
import org.yuccajunction.rollout.VersionShares
import org.yuccajunction.routing.EntryAddress
import org.yuccajunction.routing.HomeAddress
import org.yuccajunction.routing.RoutingTable
import org.yuccajunction.routing.ServerRecord
import org.yuccajunction.routing.ServerRoute
import org.yuccajunction.routing.ServerState
import org.yuccajunction.routing.ServiceRoute

/** Derives from the control state what traffic threads need. */
public fun routingTable(board: Blackboard): RoutingTable {
    val deployment = board.deployment
    val takenOut = deployment.takenOutZones()
    return RoutingTable(
        revision = deployment.revision,
        availabilityZone = board.membership.self.availabilityZone,
        services = serviceRoutes(board, takenOut),
        workspaces = workspacesByKeyHash(deployment),
        workspaceWeights = deployment.trafficRules.workspaces.associate { it.name to it.weight }.toPersistentMap(),
        builtAt = board.now,
        entries = entryAddresses(board, takenOut),
        homes = homeAddresses(board),
        draining = board.membership.self.draining,
        retryShare = deployment.trafficRules.retryShare,
        addressAnswerSeconds = deployment.trafficRules.addressAnswerSeconds,
    )
}

private fun Deployment.takenOutZones(): Set<AvailabilityZone> =
    availabilityZones.filter { it.takenOut }.map { it.name }.toSet()

private fun serviceRoutes(
    board: Blackboard,
    takenOut: Set<AvailabilityZone>,
): PersistentMap<ServiceName, ServiceRoute> {
    val servers = board.servers.entries.groupBy({ it.value.instance.service }, { it.key to it.value })
    val routes = ServerRoutes(board, takenOut)
    val models =
        board.deployment.models.map {
            modelRoute(it, versionShares(board, it.name, it.version), routes.of(servers[it.name].orEmpty()))
        }
    val applications =
        board.deployment.applications.map {
            applicationRoute(it, versionShares(board, it.name, it.version), routes.of(servers[it.name].orEmpty()))
        }
    return (models + applications).associateBy { it.name }.toPersistentMap()
}

private fun versionShares(board: Blackboard, service: ServiceName, version: ServiceVersion): VersionShares =
    VersionShares.of(service, version, board.deployment.versions, board.rollout)

private fun VersionShares.byRoute(): PersistentMap<String, PersistentMap<ServiceVersion, Double>> =
    sharesByRoute.mapValues { it.value.toPersistentMap() }.toPersistentMap()

private fun modelRoute(section: ModelSection, shares: VersionShares, servers: PersistentList<ServerRoute>) =
    ServiceRoute(
        name = section.name,
        kind = ServiceKind.MODEL,
        latencyTargetMillis = section.firstTokenTargetMillis,
        betweenTokensTargetMillis = section.betweenTokensTargetMillis,
        versionShares = shares.defaultShares.toPersistentMap(),
        trialVersion = shares.trialVersion,
        versionSharesByRoute = shares.byRoute(),
        servers = servers,
    )

private fun applicationRoute(section: ApplicationSection, shares: VersionShares, servers: PersistentList<ServerRoute>) =
    ServiceRoute(
        name = section.name,
        kind = ServiceKind.APPLICATION,
        latencyTargetMillis = section.latencyTargetMillis,
        versionShares = shares.defaultShares.toPersistentMap(),
        trialVersion = shares.trialVersion,
        versionSharesByRoute = shares.byRoute(),
        servers = servers,
        callRules = section.calls.toPersistentList(),
        statusPath = section.statusPath,
    )

private class ServerRoutes(private val board: Blackboard, private val takenOut: Set<AvailabilityZone>) {
    private val zones = board.deployment.availabilityZones.associateBy { it.name }
    private val failing = failingZones(board)

    fun of(records: List<Pair<BackendServerId, ServerRecord>>): PersistentList<ServerRoute> =
        records.mapNotNull { (id, record) -> route(id, record) }.toPersistentList()

    private fun route(id: BackendServerId, record: ServerRecord): ServerRoute? {
        val version = record.instance.version ?: return null
        val effective = record.copy(state = effectiveState(record))
        return ServerRoute(
            id = id,
            endpoint = record.endpoint,
            availabilityZone = record.instance.availabilityZone,
            version = version,
            state = effective.state,
            permits = effective.permits(board.now),
            limit = record.limits.warm,
            report = record.report,
            reportAgeMillis = record.reportedAt?.let { (board.now - it).inWholeMilliseconds } ?: 0,
            pricePerHour = pricePerHour(record),
            meanFirstTokenMillis = record.evidence.meanFirstTokenMillis,
        )
    }

    private fun effectiveState(record: ServerRecord): ServerState {
        val zone = record.instance.availabilityZone
        return when {
            zone in takenOut -> ServerState.LEAVING
            zone in failing && record.state != ServerState.LEAVING -> ServerState.SUSPECT
            else -> record.state
        }
    }

    private fun pricePerHour(record: ServerRecord): Double {
        val zone = zones[record.instance.availabilityZone] ?: return 1.0
        return if (record.instance.reclaimable) zone.reclaimablePricePerHour else zone.onDemandPricePerHour
    }
}

/** Returns the zones in which so many servers fail at once that the rest are likely to be failing as well. */
private fun failingZones(board: Blackboard): Set<AvailabilityZone> {
    val byZone = board.servers.values.filter {
        it.state != ServerState.LEAVING
    }.groupBy { it.instance.availabilityZone }
    return byZone.filterValues { it.size >= MIN_SERVERS_OF_FAILING_ZONE && it.areMostlySuspect() }.keys
}

private fun List<ServerRecord>.areMostlySuspect(): Boolean = count { it.state == ServerState.SUSPECT } * 2 > size

private const val MIN_SERVERS_OF_FAILING_ZONE = 3

private fun workspacesByKeyHash(deployment: Deployment): PersistentMap<String, WorkspaceRule> =
    deployment.trafficRules.workspaces
        .flatMap { workspace -> workspace.keyHashes.map { it to workspace } }
        .toMap()
        .toPersistentMap()

private fun entryAddresses(board: Blackboard, takenOut: Set<AvailabilityZone>): PersistentList<EntryAddress> {
    val drained = board.deployment.trafficRules.drainedEntries
    val peers = board.membership.peers.values.filterNot { it.suspected }.map { it.state }
    return (listOf(board.membership.self) + peers)
        .filterNot { it.starting || it.draining || it.availabilityZone in takenOut || it.entry.instance in drained }
        .map { it.address() }
        .toPersistentList()
}

private fun homeAddresses(board: Blackboard): PersistentMap<EntryIncarnation, HomeAddress> {
    val peers = board.membership.peers.values.map { it.state }
    val endpoints = (peers + board.membership.self).associate { it.entry to it.peerEndpoint }
    return peers.associate { it.entry to HomeAddress(it.peerEndpoint, endpoints[it.successor]) }.toPersistentMap()
}

private fun EntryState.address() =
    EntryAddress(entry, availabilityZone, callerEndpoint, peerEndpoint, load, identityEpoch)

package org.yuccajunction.control

import kotlinx.collections.immutable.toPersistentMap
import org.yuccajunction.document.AvailabilityZoneSection
import org.yuccajunction.membership.MembershipState
import org.yuccajunction.membership.PeerRecord
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.routing.ServerLimits
import org.yuccajunction.routing.ServerRecord
import org.yuccajunction.routing.ServerShare
import org.yuccajunction.routing.ServerState
import kotlin.test.Test
import kotlin.test.assertEquals

class RoutingTablesTest {
    private val now = MonotonicTime.ZERO

    @Test
    fun `a zone that was taken out keeps no permit and no entry`() {
        val zones = listOf(AvailabilityZoneSection(zone(1), "cairo", takenOut = true))
        val peers = listOf(1, 2).associate { entryState(it).entry.instance to PeerRecord(entryState(it), now) }
        val table =
            routingTable(
                board(ready(1), ready(2)).copy(
                    deployment = talkerDeployment().copy(availabilityZones = zones),
                    membership = MembershipState(entryState(3), peers.toPersistentMap()),
                ),
            )
        assertEquals(listOf(0, 1), table.services.getValue(TALKER).servers.sortedBy { it.id.value }.map { it.permits })
        assertEquals(setOf("entry-2", "entry-3"), table.entries.map { it.entry.instance.value }.toSet())
    }

    @Test
    fun `a suspected or leaving entry is not told to callers`() {
        val peers =
            listOf(
                PeerRecord(entryState(1), now, suspected = true),
                PeerRecord(entryState(2).copy(draining = true), now),
            ).associateBy { it.state.entry.instance }
        val table = routingTable(board().copy(membership = MembershipState(entryState(3), peers.toPersistentMap())))
        assertEquals(listOf("entry-3"), table.entries.map { it.entry.instance.value })
    }

    @Test
    fun `the last server of a zone in which most servers fail is suspected as well`() {
        val failing = listOf(1, 5).map { ready(it).copy(state = ServerState.SUSPECT) }
        val table = routingTable(board(*failing.toTypedArray(), ready(9), ready(2)))
        val states = table.services.getValue(TALKER).servers.associate { it.id.value.last() to it.state }
        assertEquals(ServerState.SUSPECT, states['9'])
        assertEquals(ServerState.READY, states['2'])
    }

    private fun ready(index: Int) =
        ServerRecord(
            instance = serverInstance(index),
            state = ServerState.READY,
            stateSince = now,
            limits = ServerLimits(8, 1),
            usablePermits = ServerShare.Permits(2, 1),
        )

    private fun board(vararg servers: ServerRecord) =
        Blackboard(
            now = now,
            membership = MembershipState(entryState(3)),
            deployment = talkerDeployment(),
            servers = servers.associateBy { it.instance.serverId() }.toPersistentMap(),
        )
}

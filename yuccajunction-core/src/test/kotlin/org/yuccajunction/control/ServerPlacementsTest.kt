package org.yuccajunction.control

import org.yuccajunction.document.ModelSection
import org.yuccajunction.membership.MembershipState
import org.yuccajunction.model.LoadReport
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import org.yuccajunction.routing.ServerRecord
import org.yuccajunction.routing.ServerState
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class ServerPlacementsTest {
    private val desk = ServiceName("order-desk")
    private val deployment =
        talkerDeployment().let { it.copy(models = it.models + ModelSection(desk, VERSION_1, 8, 8)) }
    private val later = MonotonicTime.ZERO + 10.seconds

    @Test
    fun `every one of 410 entries reaches a service of eight servers beside 12000 others`() {
        val entries = (1..410).map(::entryInstance)
        val servers = (1..12_000).map(::serverInstance) + (1..8).map { serverInstance(it, service = desk) }
        listOf(1, 17, 100, 410).forEach { index ->
            val placed = ServerPlacements.place(board(index), entries + servers)
            val usable = placed.servers.values.map { it.copy(state = ServerState.READY).usableAt(later) }
            assertTrue(usable.any { (service, permits) -> service == desk && permits >= 1 }, "entry $index")
            assertTrue(placed.servers.size < 200, "${placed.servers.size} servers detailed")
        }
    }

    @Test
    fun `an entry without a share of a service uses a server only while it reports spare room`() {
        val entries = (1..410).map(::entryInstance)
        val servers = (1..2).map(::serverInstance)
        val placed =
            (1..410).map { ServerPlacements.place(board(it), entries + servers) }.first { board ->
                board.servers.values.all { it.usesSpareCapacity }
            }
        val record = placed.servers.values.first().copy(state = ServerState.READY).settled(later)
        assertEquals(0, record.permits(later))
        assertEquals(1, record.reporting(running = 3).permits(later))
        assertEquals(0, record.reporting(running = 4).permits(later))
        assertEquals(0, record.reporting(running = 3).permits(later + 4.seconds))
    }

    private fun board(index: Int) = Blackboard(MonotonicTime.ZERO, MembershipState(entryState(index)), deployment)

    private fun ServerRecord.settled(now: MonotonicTime) = copy(usablePermits = share.usablePermits(now))

    private fun ServerRecord.reporting(running: Int) =
        copy(report = LoadReport("1", running = running), reportedAt = later)

    private fun ServerRecord.usableAt(now: MonotonicTime) =
        instance.service to settled(now).reporting(running = 0).permits(now)
}

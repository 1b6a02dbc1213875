package org.yuccajunction.routing

import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.InstanceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class EntryRankingTest {
    private val entries = (1..8).map { InstanceId("entry-$it") }.toSet()
    private val servers = (1..8).map { BackendServerId("talker-llm-$it") }

    @Test
    fun `each of eight entries gets one permit of every server with a limit of eight`() {
        servers.forEach { server ->
            val shares = entries.map { EntryRanking(it, entries).placement(server, 8, 8).share(8) }
            assertEquals(List(8) { 1 }, shares)
        }
    }

    @Test
    fun `the shares add up to a limit that is smaller than or no multiple of the number of entries`() {
        listOf(1, 3, 8, 13, 64).forEach { limit ->
            servers.forEach { server ->
                val shares = entries.map { EntryRanking(it, entries).placement(server, 8, limit).share(limit) }
                assertEquals(limit, shares.sum())
            }
        }
    }

    @Test
    fun `exactly one entry owns the cold start of each server`() {
        servers.forEach { server ->
            assertEquals(1, entries.count { EntryRanking(it, entries).placement(server, 8, 8).ownsColdStart })
        }
    }

    @Test
    fun `a new entry changes the first rank only at servers where it ranks first itself`() {
        val grown = entries + InstanceId("entry-9")
        servers.forEach { server ->
            val before = entries.single { EntryRanking(it, entries).placement(server, 8, 8).ownsColdStart }
            val after = grown.single { EntryRanking(it, grown).placement(server, 8, 8).ownsColdStart }
            assertTrue(after == before || after == InstanceId("entry-9"))
        }
    }

    @Test
    fun `an entry among 410 shares between 80 and 160 of 12000 servers`() {
        val many = (1..410).map { InstanceId("entry-$it") }.toSet()
        val ranking = EntryRanking(InstanceId("entry-17"), many)
        val held =
            (1..12_000).count {
                val place = ranking.placement(BackendServerId("server-$it"), 12_000, 8)
                place.rank < place.sharingEntryCount
            }
        assertTrue(held in 80..160, "held $held")
    }
}

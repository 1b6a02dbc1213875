package org.yuccajunction.configuration

import kotlinx.serialization.json.Json
import org.yuccajunction.document.Deployment
import org.yuccajunction.document.DeploymentReader
import org.yuccajunction.document.SectionName
import org.yuccajunction.document.TrafficRules
import org.yuccajunction.model.Revision
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class DeploymentEditorTest {
    @Test
    fun `a change is accepted under the next revision`() {
        val fixture = Fixture()
        assertEquals(ChangeOutcome.Accepted(Revision(1)), fixture.apply(request("a", "retryShare: 0.2")))
        assertEquals(ChangeOutcome.Accepted(Revision(2)), fixture.apply(request("b", "retryShare: 0.3", readAt = 1)))
        assertEquals(0.3, fixture.stored().trafficRules.retryShare)
    }

    @Test
    fun `a repeated request with the same write id is accepted once`() {
        val fixture = Fixture()
        fixture.apply(request("a", "retryShare: 0.2"))
        assertEquals(ChangeOutcome.Accepted(Revision(1)), fixture.apply(request("a", "retryShare: 0.2")))
        assertEquals(1, fixture.store.ledger.getValue(ObjectKeys.DEPLOYMENT_HEAD).size)
    }

    @Test
    fun `a change to a section that changed since it was read is a conflict that names the author`() {
        val fixture = Fixture()
        fixture.apply(request("a", "retryShare: 0.2", author = "amina"))
        assertEquals(ChangeOutcome.Conflict(Revision(1), "amina"), fixture.apply(request("b", "retryShare: 0.3")))
    }

    @Test
    fun `a change to another section since the read is no conflict`() {
        val fixture = Fixture()
        fixture.apply(request("a", "retryShare: 0.2"))
        val outcome = fixture.apply(request("b", "[] # none", section = SectionName.MODELS))
        assertEquals(ChangeOutcome.Accepted(Revision(2)), outcome)
    }

    @Test
    fun `a section with an unknown key is rejected with its findings`() {
        val outcome = Fixture().apply(request("a", "retryShares: 0.2"))
        assertEquals(listOf("traffic-rules"), assertIs<ChangeOutcome.Invalid>(outcome).findings.map { it.section })
    }

    @Test
    fun `a change after the store was restored to an older state keeps the configuration in force`() {
        val fixture = Fixture()
        fixture.apply(request("a", "retryShare: 0.2"))
        val inForce = Deployment(Revision(9), trafficRules = TrafficRules(retryShare = 0.4))
        val change = request("b", "[] # none", section = SectionName.MODELS, readAt = 9)
        assertEquals(ChangeOutcome.Accepted(Revision(10)), fixture.apply(change, inForce))
        assertEquals(0.4, fixture.stored().trafficRules.retryShare)
    }

    @Test
    fun `a change read at a revision that this entry has not seen is unavailable`() {
        assertIs<ChangeOutcome.Unavailable>(Fixture().apply(request("a", "retryShare: 0.2", readAt = 3)))
    }

    @Test
    fun `the number of history and replaced section objects is bounded`() {
        val fixture = Fixture()
        repeat(80) { fixture.apply(request("w$it", "retryShare: 0.1 # $it", readAt = it.toLong())) }
        assertEquals(ChangeOutcome.Accepted(Revision(81)), fixture.apply(request("x", "retryShare: 0.2", readAt = 80)))
        assertTrue(
            fixture.store.objects.size <= 2 * (DeploymentHead.MAX_KEPT_CHANGES + 2),
            fixture.store.objects.size.toString(),
        )
    }

    @Test
    fun `concurrent changes by several operators lose no accepted change and get true outcomes`() {
        val outcomes = (1..SEEDS).flatMap { seed -> Race(seed).run() }
        val kinds = outcomes.groupingBy { it::class.simpleName }.eachCount()
        for (kind in listOf("Accepted", "Conflict", "Invalid", "Unknown")) assertContains(kinds, kind)
    }

    private class Fixture(seed: Int = 1, faultShare: Double = 0.0) {
        val store = RacingObjectStore(Random(seed), faultShare)
        private val editor = DeploymentEditor(store)

        fun apply(request: ChangeRequest, inForce: Deployment = Deployment()): ChangeOutcome {
            var outcome: ChangeOutcome? = null
            store.launch { outcome = editor.apply(request, inForce) }
            store.runAll()
            return checkNotNull(outcome)
        }

        fun stored(): Deployment {
            val head = Json.decodeFromString<DeploymentHead>(store.objects.getValue(ObjectKeys.DEPLOYMENT_HEAD).value!!)
            val texts = head.sections.mapValues { (_, key) -> store.objects.getValue(key).value!! }
            return DeploymentReader.read(texts, head.revision).deployment
        }
    }

    /** Lets several operators change sections at once over a faulty store and checks the outcomes they got. */
    private class Race(private val seed: Int) {
        private val random = Random(seed)
        private val store = RacingObjectStore(random, faultShare = 0.15)
        private val outcomes = mutableMapOf<ChangeRequest, ChangeOutcome>()

        fun run(): Collection<ChangeOutcome> {
            repeat(OPERATORS) { operator -> store.launch { repeat(CHANGES) { change("operator$operator", it) } } }
            store.runAll()
            checkHeads()
            return outcomes.values
        }

        private suspend fun change(author: String, number: Int) {
            val readAt = DeploymentStore(store).readCurrent().getOrNull()?.head?.revision ?: Revision.NONE
            val section = SectionName.entries[random.nextInt(SectionName.entries.size)]
            val valid = if (section == SectionName.TRAFFIC_RULES) "retryShare: 0.1" else "[]"
            val text = if (random.nextInt(8) == 0) "unknown: 1" else valid
            val writeId = "$author-$number"
            val request = ChangeRequest(mapOf(section to "$text # $writeId"), readAt, author, writeId, "")
            outcomes[request] = DeploymentEditor(store).apply(request, Deployment())
        }

        private fun checkHeads() {
            val heads = store.ledger[ObjectKeys.DEPLOYMENT_HEAD].orEmpty().map {
                Json.decodeFromString<DeploymentHead>(it)
            }
            val requests = outcomes.keys.associateBy { it.writeId }
            for ((request, outcome) in outcomes) checkOutcome(request, outcome, heads)
            var before = DeploymentHead(Revision.NONE, "", emptyMap())
            for (head in heads) {
                val request = requests.getValue(head.writeId)
                assertEquals(before.revision.next(), head.revision, "seed $seed")
                val changed = head.sections.filter { (name, key) -> before.sections[name] != key }.keys
                assertEquals(request.texts.keys, changed, "seed $seed: ${request.writeId} changed other sections")
                val read = changed.all { (before.sectionRevisions[it] ?: Revision.NONE) <= request.readAt }
                assertTrue(read, "seed $seed: ${request.writeId} replaced a change that its author had not read")
                assertTrue(head.sections.values.all { it in store.objects }, "seed $seed: a named section is missing")
                before = head
            }
        }

        private fun checkOutcome(request: ChangeRequest, outcome: ChangeOutcome, heads: List<DeploymentHead>) {
            val at = heads.filter { it.writeId == request.writeId }.map { it.revision }
            when (outcome) {
                is ChangeOutcome.Accepted -> assertEquals(listOf(outcome.revision), at, "seed $seed: $request")
                is ChangeOutcome.Unknown -> assertTrue(at.size <= 1, "seed $seed: $request")
                else -> assertEquals(emptyList(), at, "seed $seed: $request got $outcome")
            }
        }
    }

    private companion object {
        const val SEEDS = 2_000
        const val OPERATORS = 4
        const val CHANGES = 4

        fun request(
            writeId: String,
            text: String,
            section: SectionName = SectionName.TRAFFIC_RULES,
            readAt: Long = 0,
            author: String = "omar",
        ) = ChangeRequest(mapOf(section to text), Revision(readAt), author, writeId, "2026-01-01T00:00:00Z")
    }
}

package org.yuccajunction.document

import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.InstanceId
import kotlin.test.Test
import kotlin.test.assertEquals

class SectionEditTest {
    @Test
    fun `taking out a zone keeps comments and layout`() {
        val text = "# ours\n- name: a\n  region: r\n  takenOut: false\n- name: b # new\n  region: r\n"
        val first = SectionEdit.setZoneTakenOut(text, AvailabilityZone("a"), true).getOrNull()
        assertEquals("# ours\n- name: a\n  region: r\n  takenOut: true\n- name: b # new\n  region: r\n", first)
        val second = SectionEdit.setZoneTakenOut(text, AvailabilityZone("b"), true).getOrNull()
        assertEquals(
            "# ours\n- name: a\n  region: r\n  takenOut: false\n- name: b # new\n  takenOut: true\n  region: r\n",
            second,
        )
    }

    @Test
    fun `taking out a zone works in flow style`() {
        val edited = SectionEdit.setZoneTakenOut("[{name: a, region: r}]", AvailabilityZone("a"), true).getOrNull()!!
        val section = SectionName.AVAILABILITY_ZONES
        val read = DeploymentReader.read(mapOf(section to edited), org.yuccajunction.model.Revision.NONE)
        assertEquals(listOf(true), read.deployment.availabilityZones.map { it.takenOut })
    }

    @Test
    fun `taking out an unknown zone is an error that names the zone`() {
        val edit = SectionEdit.setZoneTakenOut("- name: a\n  region: r\n", AvailabilityZone("z"), true)
        assertEquals("there is no availability zone z", edit.leftOrNull())
    }

    @Test
    fun `draining and its end change only the list of drained instances`() {
        val text = "# rules\nretryShare: 0.2\n"
        val drained = SectionEdit.setBackendServerDrained(text, BackendServerId("s1"), true).getOrNull()!!
        assertEquals("# rules\nretryShare: 0.2\ndrainedBackendServers:\n- \"s1\"\n", drained)
        val returned = SectionEdit.setBackendServerDrained(drained, BackendServerId("s1"), false).getOrNull()
        assertEquals("# rules\nretryShare: 0.2\ndrainedBackendServers: []\n", returned)
        val both = SectionEdit.setEntryDrained(drained, InstanceId("e1"), true).getOrNull()
        assertEquals(drained + "drainedEntries:\n- \"e1\"\n", both)
    }
}

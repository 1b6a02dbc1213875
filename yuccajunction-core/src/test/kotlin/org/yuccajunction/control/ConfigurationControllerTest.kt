package org.yuccajunction.control

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentMap
import org.yuccajunction.configuration.ObjectKeys
import org.yuccajunction.document.Deployment
import org.yuccajunction.membership.EntryState
import org.yuccajunction.membership.Heartbeat
import org.yuccajunction.membership.MembershipState
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.InstanceRole
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.PlatformInstance
import org.yuccajunction.model.Revision
import org.yuccajunction.port.ObjectListing
import org.yuccajunction.port.ObjectVersion
import org.yuccajunction.port.StoredObject
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class ConfigurationControllerTest {
    private val controller = ConfigurationController()
    private val random = Random(1)
    private var board =
        Blackboard(
            MonotonicTime.ZERO,
            MembershipState(
                entry(1),
                instances = listOf(1, 2).map(::instance).associateBy { it.id }.toPersistentMap(),
                listedAt = MonotonicTime.ZERO,
            ),
        )

    @Test
    fun `the entry lists the head object and then watches from its version`() {
        assertEquals(listOf<ControlCommand>(ControlCommand.ListObjects(ObjectKeys.DEPLOYMENT_HEAD)), tick())
        headListed(version = 7, revision = 3)
        val commands = tick(1.seconds)
        assertTrue(ControlCommand.ReadDeployment in commands)
        assertTrue(
            ControlCommand.WatchObjects(ObjectKeys.DEPLOYMENT_HEAD, ObjectVersion(7), 10.seconds) in commands,
        )
    }

    @Test
    fun `an older revision never replaces a newer one`() {
        pulled(9)
        headListed(version = 7, revision = 3)
        assertFalse(ControlCommand.ReadDeployment in tick(1.seconds))
        read(3)
        pulled(8)
        assertEquals(Revision(9), board.deployment.revision)
        read(10)
        assertEquals(Revision(10), board.deployment.revision)
    }

    @Test
    fun `the entry lists again after the object API returned a lower version`() {
        tick()
        headListed(version = 7, revision = 3)
        tick(1.seconds)
        headListed(version = 5, revision = 2)
        assertTrue(ControlCommand.ListObjects(ObjectKeys.DEPLOYMENT_HEAD) in tick(1.seconds))
        assertEquals(Revision(3), board.configuration.highestRevision)
    }

    @Test
    fun `the entry pulls a newer revision from a peer only once at a time`() {
        val pull = ControlCommand.PullDeployment(entry(2).peerEndpoint)
        assertEquals(listOf<ControlCommand>(pull), heartbeat(4))
        assertEquals(emptyList(), heartbeat(4))
        handle(ControlEvent.PullUnanswered(entry(2).peerEndpoint))
        assertEquals(listOf<ControlCommand>(pull), heartbeat(5))
    }

    @Test
    fun `a new entry does not accept an older configuration from the object API while a peer has a newer one`() {
        tick()
        headListed(version = 7, revision = 3)
        tick(1.seconds)
        read(3)
        assertEquals(Revision.NONE, board.deployment.revision)
        heartbeat(9)
        tick(1.seconds)
        assertEquals(Revision.NONE, board.deployment.revision)
        pulled(9)
        assertEquals(Revision(9), board.deployment.revision)
    }

    @Test
    fun `a new entry accepts the stored configuration after the peer timeout if no peer answers`() {
        tick()
        headListed(version = 7, revision = 3)
        tick(1.seconds)
        read(3)
        tick(3.seconds)
        assertEquals(Revision(3), board.deployment.revision)
    }

    @Test
    fun `an entry without listed peers accepts the stored configuration at once`() {
        val alone = board.membership.instances.remove(InstanceId("entry-2"))
        board = board.copy(membership = board.membership.copy(instances = alone))
        read(3)
        assertEquals(Revision(3), board.deployment.revision)
    }

    @Test
    fun `the entry reads a configuration again after an incomplete read`() {
        pulled(2)
        headListed(version = 7, revision = 3)
        assertTrue(ControlCommand.ReadDeployment in tick(1.seconds))
        handle(ControlEvent.DeploymentUnavailable("section object was not read"))
        assertEquals(Revision(2), board.deployment.revision)
        assertTrue(ControlCommand.ReadDeployment in tick(2.seconds))
    }

    private fun tick(elapsed: Duration = Duration.ZERO): List<ControlCommand> {
        board = board.copy(now = board.now + elapsed)
        return handle(ControlEvent.Ticked)
    }

    private fun headListed(version: Long, revision: Long) {
        val head = """{"revision": $revision, "writeId": "a", "sections": {}}"""
        val stored = StoredObject(ObjectKeys.DEPLOYMENT_HEAD, ObjectVersion(version), head)
        val listing = ObjectListing.Listed(ObjectVersion(version), persistentListOf(stored))
        handle(ControlEvent.ObjectsListed(ObjectKeys.DEPLOYMENT_HEAD, listing))
    }

    private fun read(revision: Long) {
        handle(ControlEvent.DeploymentRead(Deployment(Revision(revision))))
    }

    private fun pulled(revision: Long) {
        handle(ControlEvent.DeploymentRead(Deployment(Revision(revision)), fromPeer = true))
    }

    private fun heartbeat(revision: Long): List<ControlCommand> {
        board = board.copy(membership = board.membership.copy(lastContactAt = board.now))
        return handle(ControlEvent.HeartbeatReceived(Heartbeat(entry(2), Revision(revision))))
    }

    private fun handle(event: ControlEvent): List<ControlCommand> {
        val step = controller.handle(board, event, random)
        board = step.board
        return step.commands.filterNot { it is ControlCommand.Log }
    }

    private fun entry(number: Int): EntryState =
        EntryState(
            EntryIncarnation(InstanceId("entry-$number"), 1),
            stateVersion = 0,
            AvailabilityZone("cairo-a"),
            Endpoint("127.0.0.1", 8000 + number),
            Endpoint("127.0.0.1", 9000 + number),
            Revision.NONE,
        )

    private fun instance(number: Int): PlatformInstance =
        PlatformInstance(
            InstanceId("entry-$number"),
            InstanceRole.ENTRY,
            AvailabilityZone("cairo-a"),
            Endpoint("127.0.0.1", 8000 + number),
        )
}

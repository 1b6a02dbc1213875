package org.yuccajunction.entry

import org.yuccajunction.control.ControlEvent
import org.yuccajunction.control.MembershipController
import org.yuccajunction.document.Deployment
import org.yuccajunction.entry.serving.ServingPeerHandler
import org.yuccajunction.membership.Heartbeat
import org.yuccajunction.port.ForwardOutcome
import org.yuccajunction.port.ForwardedCall
import org.yuccajunction.port.PeerHandler
import org.yuccajunction.record.HandOver
import org.yuccajunction.record.RecordAnswer
import kotlin.random.Random

/** Handles requests of peers: heartbeats and configuration here, those about calls and streams in [serving]. */
public class EntryPeerHandler(
    private val control: ControlThread,
    private val membership: MembershipController,
    private val serving: ServingPeerHandler,
    private val random: Random,
) : PeerHandler {
    override suspend fun answerHeartbeat(heartbeat: Heartbeat): Heartbeat {
        control.post(ControlEvent.HeartbeatReceived(heartbeat))
        return membership.answer(control.board, heartbeat, random)
    }

    override suspend fun deployment(): Deployment = control.board.deployment

    override suspend fun executeForwardedCall(call: ForwardedCall): ForwardOutcome = serving.execute(call)

    override suspend fun takeOver(handOver: HandOver): Boolean = serving.takeOver(handOver)

    override suspend fun findRecord(requestId: String): RecordAnswer = serving.findRecord(requestId)
}

package org.yuccajunction.gateway

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import org.yuccajunction.control.LogEvent
import org.yuccajunction.duty.ServiceDemand
import org.yuccajunction.entries.ConfirmationAnswer
import org.yuccajunction.entries.ConfirmationQuestion
import org.yuccajunction.entries.EntryDatagram
import org.yuccajunction.entries.EntryHeartbeat
import org.yuccajunction.entries.EntryMessage
import org.yuccajunction.entries.PauseDetector
import org.yuccajunction.entries.PeerTable
import org.yuccajunction.entries.withPlausibleValues
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import org.yuccajunction.port.ObjectStore
import org.yuccajunction.quota.QuotaLoanRequest
import org.yuccajunction.quota.UsageTotals
import org.yuccajunction.rollout.MoveReport
import java.net.InetSocketAddress
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * Exchanges heartbeats and membership updates with peers by datagrams.
 *
 * Entries find each other by their [EntryRegistrations]. The datagrams also carry [Confirmations]' questions and
 * answers, and loans of quotas. Confined to the control thread.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class PeerGossip(
    private val dataPlane: DataPlane,
    private val controlPlane: ControlPlane,
    private val store: ObjectStore,
    private val log: DecisionLog,
    private val incarnation: Long,
) {
    private val settings = dataPlane.settings
    private val newHeartbeats = ArrayList<EntryHeartbeat>()
    private var sequence = 0L
    private var usageSentAt: MonotonicTime? = null
    private var ownOpenRequests: Map<String, Int> = emptyMap()
    private var ownBusyServers: Map<String, Double> = emptyMap()
    private val pauses = PauseDetector(startedAt = dataPlane.now())
    private lateinit var channel: Channel

    val table = PeerTable(settings.name, startedAt = dataPlane.now())
    val usageTotals = UsageTotals()

    /** Answers a peer's question; returns null where this entry can't answer. */
    var answerQuestion: (ConfirmationQuestion) -> ConfirmationAnswer? = { null }

    /** Processes a peer's answer to a question of this entry. */
    var acceptAnswer: (ConfirmationAnswer) -> Unit = {}

    /** Returns the fencing number of the duties' lease while this entry holds the lease, 0 otherwise. */
    var dutyFencingNumber: () -> Long = { 0 }

    /** Returns what this entry reports to its peers of ordered moves of services. */
    var moveReports: () -> List<MoveReport> = { emptyList() }

    /** Returns whether the live peers' reports are current, as they are not directly after a pause of this process. */
    fun hasCurrentReports(): Boolean = pauses.hasCurrentReports(dataPlane.now())

    fun start(group: EventLoopGroup, scope: CoroutineScope) {
        channel = PeerSocket.bind(group, settings.peerEndpoint, DatagramReceiver())
        val registrations = EntryRegistrations(store, log, settings.name, settings.peerEndpoint) { name, address ->
            table.addRegistration(name, address, dataPlane.now())
        }
        scope.launchRestarting(log, "registration") { registrations.follow() }
        scope.launchRestarting(log, "heartbeats") { sendHeartbeatsRepeatedly() }
    }

    /** Returns the demand for servers of [service] at all live entries together. */
    fun demand(service: ServiceName): ServiceDemand {
        val livePeers = table.livePeers(dataPlane.now())
        val openRequests =
            (ownOpenRequests[service.value] ?: 0) + livePeers.sumOf { it.openRequests[service.value] ?: 0 }
        val reported =
            livePeers.mapNotNull { it.busyServers[service.value] } + listOfNotNull(ownBusyServers[service.value])
        return ServiceDemand.fromReports(openRequests, reported, entries = livePeers.size + 1)
    }

    private suspend fun sendHeartbeatsRepeatedly() {
        while (true) {
            delay(table.heartbeatInterval(dataPlane.now()) * Random.nextDouble(MIN_JITTER, MAX_JITTER))
            pauses.recordRunning(dataPlane.now())
            exchangeHeartbeats()
        }
    }

    /**
     * Hands the peers' new heartbeats to the traffic thread and sends that thread's report as this entry's heartbeat.
     *
     * The heartbeat goes to the peers whose turn it is, or to all of them if [isBroadcast].
     */
    fun exchangeHeartbeats(isBroadcast: Boolean = false) {
        handOverHeartbeats()
        dataPlane.loop.execute {
            val report = dataPlane.report()
            channel.eventLoop().execute { sendHeartbeat(report, isBroadcast) }
        }
    }

    private fun handOverHeartbeats() {
        val heartbeats = newHeartbeats.toList()
        newHeartbeats.clear()
        val live = table.livePeers(dataPlane.now()).map { it.name } + settings.name
        controlPlane.updateEntries(live.sorted())
        dataPlane.loop.execute { dataPlane.acceptHeartbeats(heartbeats, live.toSet()) }
    }

    private fun sendHeartbeat(report: TrafficReport, isBroadcast: Boolean) {
        sequence += 1
        ownOpenRequests = report.openRequests
        ownBusyServers = report.busyServers
        usageTotals.replaceCounts("${settings.name}/$incarnation", report.usage)
        val now = dataPlane.now()
        val message = EntryMessage(heartbeat(report), table.heartbeatCounters(now), table.nextMembershipUpdates(now))
        val usageReceivers = if (isUsageDue(now)) table.usageReceivers(now) else emptySet()
        val targets = if (isBroadcast) table.allPeerAddresses() else table.heartbeatTargets(now, Random)
        sendMessage(message, targets - usageReceivers)
        if (usageReceivers.isNotEmpty()) sendMessage(message.copy(usage = report.usage), usageReceivers)
        channel.flush()
    }

    private fun isUsageDue(now: MonotonicTime): Boolean {
        val isDue = usageSentAt?.let { now - it >= USAGE_SEND_INTERVAL } ?: true
        if (isDue) usageSentAt = now
        return isDue
    }

    private fun sendMessage(message: EntryMessage, targets: Collection<String>) {
        val bytes = ProtoBuf.encodeToByteArray(EntryDatagram(message))
        for (target in targets) {
            log.runGuarded(LogEvent.CONTROL_TASK_FAILED, "heartbeat to $target") { sendTo(target, bytes) }
        }
    }

    private fun sendTo(target: String, bytes: ByteArray) {
        val endpoint = Endpoint.parse(target) ?: return
        writeDatagram(bytes, InetSocketAddress(endpoint.host, endpoint.port))
    }

    /** Sends [question] to the peer [name]; the question or its answer may get lost. */
    fun askForConfirmation(name: String, question: ConfirmationQuestion) {
        sendToPeer(name, EntryDatagram(question = question))
    }

    /** Sends [requests] for loans to peers, by their names; a request or its answer may get lost. */
    fun requestLoans(requests: Map<String, QuotaLoanRequest>) {
        requests.forEach { (name, request) -> sendToPeer(name, EntryDatagram(loanRequest = request)) }
    }

    private fun sendToPeer(name: String, datagram: EntryDatagram) {
        val endpoint = table.peerAddress(name)?.let(Endpoint::parse) ?: return
        writeDatagram(ProtoBuf.encodeToByteArray(datagram), InetSocketAddress(endpoint.host, endpoint.port))
        channel.flush()
    }

    private fun writeDatagram(bytes: ByteArray, address: InetSocketAddress) {
        channel.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), address))
    }

    private fun heartbeat(report: TrafficReport): EntryHeartbeat =
        EntryHeartbeat(
            name = settings.name,
            incarnation = incarnation,
            sequence = sequence,
            callerAddress = settings.callerEndpoint.toString(),
            peerAddress = settings.peerEndpoint.toString(),
            availabilityZone = settings.availabilityZone.value,
            isReady = controlPlane.isReady(),
            revision = controlPlane.fleet.configuration?.revision?.value ?: 0,
            dutyFencingNumber = dutyFencingNumber(),
            openRequests = report.openRequests,
            admitted = report.admitted,
            busyServers = report.busyServers,
            moves = moveReports(),
            requestLimits = report.requestLimits,
            liftedLimits = report.liftedLimits,
            leavingServers = report.leavingServers,
            quarantine = report.quarantine,
            unreachableServices = report.unreachableServices,
            brittleServices = report.brittleServices,
            rejectionAgesMillis = report.rejectionAgesMillis,
            isUsingQuotaPart = report.quotas.isUsingPart,
            countedNewMembers = report.quotas.countedNewMembers,
            spareQuotas = report.quotas.spare,
        )

    private fun handleDatagram(bytes: ByteArray, sender: InetSocketAddress) {
        val datagram =
            try {
                ProtoBuf.decodeFromByteArray<EntryDatagram>(bytes)
            } catch (exception: SerializationException) {
                return log.write(LogEvent.OBJECT_UNREADABLE) {
                    field("key", "beat")
                    field("detail", exception.message)
                }
            }
        datagram.message?.let(::acceptMessage)
        datagram.answer?.let(acceptAnswer)
        datagram.loan?.let { loan -> dataPlane.loop.execute { dataPlane.quotaExchange.accept(loan) } }
        datagram.loanRequest?.let { answerLoanRequest(it, sender) }
        val reply = datagram.question?.let(answerQuestion) ?: return
        writeDatagram(ProtoBuf.encodeToByteArray(EntryDatagram(answer = reply)), sender)
        channel.flush()
    }

    private fun answerLoanRequest(request: QuotaLoanRequest, sender: InetSocketAddress) {
        dataPlane.loop.execute {
            val loan = dataPlane.quotaExchange.lend(request)
            channel.writeAndFlush(
                DatagramPacket(Unpooled.wrappedBuffer(ProtoBuf.encodeToByteArray(EntryDatagram(loan = loan))), sender),
            )
        }
    }

    private fun acceptMessage(message: EntryMessage) {
        val now = dataPlane.now()
        val heartbeat = message.heartbeat.withPlausibleValues()
        table.recordHeartbeatCounters(message.heartbeatCounters, now)
        message.membershipUpdates.forEach { table.recordMembershipUpdate(it.withPlausibleValues(), now) }
        if (!table.recordHeartbeat(heartbeat, now)) return
        usageTotals.replaceCounts("${heartbeat.name}/${heartbeat.incarnation}", message.usage)
        newHeartbeats += heartbeat
        if (heartbeat.quarantine.hasFreshEvidence) handOverHeartbeats()
    }

    private inner class DatagramReceiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) {
            val bytes = ByteArray(packet.content().readableBytes())
            packet.content().readBytes(bytes)
            handleDatagram(bytes, packet.sender())
        }

        @Deprecated("Netty deprecates this method, but its pipeline still calls it.")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            log.write(LogEvent.OBJECT_UNREADABLE) {
                field("key", "beat")
                field("detail", cause.toString())
            }
        }
    }

    private companion object {
        const val MIN_JITTER = 0.9
        const val MAX_JITTER = 1.1
        val USAGE_SEND_INTERVAL = 800.milliseconds
    }
}

package org.yuccajunction.entry

import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExecutorCoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.trySendBlocking
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.yuccajunction.control.Blackboard
import org.yuccajunction.control.ControlCommand
import org.yuccajunction.control.ControlEvent
import org.yuccajunction.control.ControllerChain
import org.yuccajunction.control.routingTable
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.routing.AttemptObservation
import org.yuccajunction.routing.RoutingTable
import java.lang.management.ManagementFactory
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.Executors
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/**
 * The single thread that owns the control state.
 *
 * Any thread may post events; this thread handles them in order. After each event it passes the resulting commands to
 * [perform] and publishes [board], the state shared by the controllers. It publishes [table], the routing table for
 * traffic threads, at each tick, and after an event if the table is older than [TABLE_PUBLISH_INTERVAL].
 */
public class ControlThread(
    private val controllers: ControllerChain,
    private val clock: () -> MonotonicTime,
    private val perform: (ControlCommand) -> Unit,
) : AutoCloseable {
    private val dispatcher: ExecutorCoroutineDispatcher =
        Executors.newSingleThreadExecutor { task -> Thread(task, THREAD_NAME).also { thread = it } }
            .asCoroutineDispatcher()
    private val events = Channel<ControlEvent>(EVENT_CAPACITY)
    private val observations = ArrayBlockingQueue<AttemptObservation>(OBSERVATION_CAPACITY)
    private var tablePublishedAt = MonotonicTime.ZERO

    @Volatile
    private var thread: Thread? = null

    /** The state shared by the controllers, after the last handled event. */
    @Volatile
    public var board: Blackboard = controllers.board
        private set

    /** The newest routing table. */
    @Volatile
    public var table: RoutingTable = routingTable(controllers.board)
        private set

    /** Processor time that the control thread has used so far. */
    public val processorTime: Duration
        get() = (thread?.let { ManagementFactory.getThreadMXBean().getThreadCpuTime(it.id) } ?: 0).nanoseconds

    /** Starts to handle events and to send a tick every [TICK_INTERVAL]. */
    public fun start(scope: CoroutineScope) {
        scope.launch(dispatcher) {
            for (event in events) handle(event)
        }
        scope.launch(dispatcher) {
            while (isActive) {
                tick()
                delay(TICK_INTERVAL)
            }
        }
    }

    /** Queues [event] for the control thread; blocks while the queue is full. */
    public fun post(event: ControlEvent) {
        events.trySendBlocking(event)
    }

    /** Queues an observation of an ended attempt, which is handled at the next tick; drops it if the queue is full. */
    public fun observe(observation: AttemptObservation) {
        observations.offer(observation)
    }

    private fun tick() {
        val ended = generateSequence { observations.poll() }.take(OBSERVATION_CAPACITY).toList()
        if (ended.isNotEmpty()) handle(ControlEvent.AttemptsEnded(ended.toPersistentList()))
        handle(ControlEvent.Ticked)
        publishTable()
    }

    private fun handle(event: ControlEvent) {
        val commands = controllers.handle(event, clock())
        board = controllers.board
        if (clock() - tablePublishedAt >= TABLE_PUBLISH_INTERVAL) publishTable()
        commands.forEach(perform)
    }

    private fun publishTable() {
        table = routingTable(board)
        tablePublishedAt = clock()
    }

    override fun close() {
        events.close()
        dispatcher.close()
    }

    private companion object {
        const val THREAD_NAME = "control"
        const val EVENT_CAPACITY = 4_096
        const val OBSERVATION_CAPACITY = 16_384
        val TICK_INTERVAL = 100.milliseconds
        val TABLE_PUBLISH_INTERVAL = 100.milliseconds
    }
}

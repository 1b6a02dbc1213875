package org.yuccajunction.integration

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Sends chat completions from [callers] threads, to the live entries in turn, until closed. */
class BackgroundLoad(private val running: RunningDeployment, callers: Int, private val tokens: Int = 30) :
    AutoCloseable {
    private val ended = AtomicBoolean()
    private val number = AtomicInteger()
    val attempts = ConcurrentLinkedQueue<DraftAttempt>()
    private val threads = List(callers) { thread(name = "caller-$it") { sendDrafts() } }

    private fun sendDrafts() {
        val caller = TestCaller(running.key)
        while (!ended.get()) {
            val turn = number.getAndIncrement()
            val live = running.entries.filter { it.process.isAlive }
            val attempt = caller.draft(live[turn % live.size].caller, DraftOrder("Draft talker $turn", tokens))
            attempts += attempt
            if (attempt.status != 200) Thread.sleep(PAUSE_AFTER_REJECTION_MILLIS)
        }
    }

    /** Blocks for [millis] while the load continues. */
    fun continueFor(millis: Long) = Thread.sleep(millis)

    override fun close() {
        ended.set(true)
        threads.forEach { it.join() }
    }

    private companion object {
        const val PAUSE_AFTER_REJECTION_MILLIS = 100L
    }
}

package org.yuccajunction.http

import java.util.concurrent.atomic.AtomicLong

/**
 * Bounds the memory of answers, and of their parts, that are held until they are whole.
 *
 * @property maxBytes bound of all that is held here
 * @property whole the memory of which this is a share, null where it is no share
 */
public class AnswerMemory(
    private val maxBytes: Long = Runtime.getRuntime().maxMemory() / HEAP_DIVISOR,
    private val whole: AnswerMemory? = null,
) {
    private val held = AtomicLong()

    /** Number of bytes that are held. */
    public val heldBytes: Long get() = held.get()

    /** Counts [bytes] more, or fewer if negative; returns whether the bounds are kept. */
    public fun adjust(bytes: Int): Boolean {
        val isWithinWhole = whole?.adjust(bytes) ?: true
        return held.addAndGet(bytes.toLong()) <= maxBytes && isWithinWhole
    }

    /** Returns the share of this memory that one server may take, so that the others find room beside it. */
    public fun shareOfServer(): AnswerMemory = AnswerMemory(maxBytes / SHARE_DIVISOR, whole = this)

    private companion object {
        /** A quarter of the heap, beside which buffers of connections and the control state need room. */
        const val HEAP_DIVISOR = 4
        const val SHARE_DIVISOR = 2
    }
}

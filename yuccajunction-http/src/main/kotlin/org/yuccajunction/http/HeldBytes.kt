package org.yuccajunction.http

/** The part of [memory] that one answer takes, which may grow and shrink. */
public class HeldBytes(private val memory: AnswerMemory) {
    private var bytes = 0

    /** Sets the part to [bytes]; returns whether the bounds of the memory are kept. */
    public fun set(bytes: Int): Boolean {
        val added = bytes - this.bytes
        this.bytes = bytes
        return memory.adjust(added)
    }
}

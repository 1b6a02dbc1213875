package org.yuccajunction.gateway

import io.netty.handler.codec.http.HttpContent

/**
 * Matches the answers on one connection to the requests that it carries, and counts what is skipped.
 *
 * A second copy of an answer may come late, in the place of the answer to the next request. One without a name proves
 * neither that the server has executed the current request nor that it has not.
 *
 * @param isOfPeerEntry whether the connection leads to another entry, whose own refusals name no request
 */
internal class AnswerMatching(private val extraAnswers: ExtraAnswers, private val isOfPeerEntry: Boolean) {
    /** Requests that the connection has carried, with the current one. */
    private var carriedRequests = 0

    /** The last HEAD requests, whose answers have no body. */
    private val headRequests = ArrayDeque<String>()
    private var isCurrentHead = false
    private var interimAnswers = 0
    private var skippedAnswers = 0
    private var skippedBytes = 0L
    private var statusLineSearch = StatusLineSearch()

    /** What the bytes of a skipped answer say of the bytes that follow. */
    enum class Skip {
        /** As far as is known, the answer that is skipped is whole. */
        WHOLE,

        /** The answer breaks off, and another one, perhaps that to the current request, begins inside of it. */
        TORN,

        /** The answer is too long to be read on. */
        TOO_LONG,
    }

    /** Begins to match answers to the next [request], which was sent and may be a HEAD request. */
    fun requestSent(request: String, isHead: Boolean) {
        carriedRequests += 1
        isCurrentHead = isHead
        if (isHead) headRequests.addLast(request)
        if (headRequests.size > MAX_REMEMBERED) headRequests.removeFirst()
        interimAnswers = 0
        skippedAnswers = 0
        skippedBytes = 0
    }

    /**
     * Returns whether an answer that names the request [named], or none, has no body, as one to HEAD.
     *
     * A late copy of the answer to a former request is framed by the method of that one.
     */
    fun isAnswerToHead(named: () -> String?): Boolean =
        headRequests.isNotEmpty() && (named()?.let { it in headRequests } ?: isCurrentHead)

    /** Matches the answer with [head] to the [current] request; reports an answer that is not its own. */
    fun match(head: AnswerHead, current: String): AnswerMatch {
        val match = classify(head, current)
        statusLineSearch = StatusLineSearch()
        when (match) {
            AnswerMatch.OWN, AnswerMatch.OWN_UNNAMED -> return match
            AnswerMatch.INTERIM -> interimAnswers += 1
            else -> {
                skippedAnswers += 1
                extraAnswers.record(head, current)
            }
        }
        return if (interimAnswers + skippedAnswers > MAX_SKIPPED_ANSWERS) AnswerMatch.TOO_MANY else match
    }

    private fun classify(head: AnswerHead, current: String): AnswerMatch =
        when {
            head.requestId != null && head.requestId != current -> AnswerMatch.OTHER_REQUEST
            head.status in INTERIM_STATUSES -> AnswerMatch.INTERIM
            head.requestId != null || isOfPeerEntry -> AnswerMatch.OWN
            carriedRequests > 1 -> AnswerMatch.UNPROVEN
            else -> AnswerMatch.OWN_UNNAMED
        }

    /** Counts [content] of a skipped answer, and says whether what follows can be trusted. */
    fun skip(content: HttpContent): Skip {
        val bytes = content.content()
        skippedBytes += bytes.readableBytes()
        return when {
            statusLineSearch.isIn(bytes) -> Skip.TORN
            skippedBytes > MAX_SKIPPED_BYTES -> Skip.TOO_LONG
            else -> Skip.WHOLE
        }
    }

    /** Returns where the answer with [head], to the current request, came. */
    fun originOf(head: AnswerHead): AnswerOrigin =
        AnswerOrigin(
            status = head.status,
            signature = head.signature,
            requestsBefore = carriedRequests - 1,
            interimAnswers = interimAnswers,
            skippedAnswers = skippedAnswers,
            skippedBytes = skippedBytes,
        )

    private companion object {
        val INTERIM_STATUSES = 100..199

        /** HEAD requests that are remembered for each connection. */
        const val MAX_REMEMBERED = 4

        /** Interim answers and late answers to other requests that are skipped before the answer to a request. */
        const val MAX_SKIPPED_ANSWERS = 16
        const val MAX_SKIPPED_BYTES = 1_048_576L
    }
}

package org.yuccajunction.caller

/** Tries one call to an application until it has a final result. */
internal class CallTries(private val tries: Tries, private val entries: EntryClient, private val call: CallerCall) {
    private var identity: Identity? = null

    suspend fun run(): CallerResult {
        while (true) {
            val entry = tries.next()
            val sent = identity ?: tries.newIdentity(entry).also { identity = it }
            val result = result(entry, sent, entries.call(entry.address, call, sent))
            if (result != null) return result
        }
    }

    private suspend fun result(entry: NamedEntry, sent: Identity, exchange: Exchange): CallerResult? =
        when (exchange) {
            is Exchange.Answered -> CallerResult.Answered(exchange.status, exchange.headers, exchange.body)
            is Exchange.Problematic -> problem(entry, sent, exchange)
            is Exchange.Broken -> broken(entry, sent, exchange)
        }

    private suspend fun problem(entry: NamedEntry, sent: Identity, exchange: Exchange.Problematic): CallerResult? {
        val problem = exchange.problem
        if (problem.outcome == "unknown") return CallerResult.OutcomeUnknown(sent.text.orEmpty(), problem.detail)
        if (!problem.notRun) return CallerResult.Failed(exchange.status, problem.detail)
        sent.wasSent = sent.wasSent && !problem.identityRetired
        if (problem.identityRetired) identity = null
        val isFinal = exchange.status in CALLER_ERRORS || !tries.refusedAt(entry, problem)
        return if (isFinal) CallerResult.Refused(problem.detail) else null
    }

    private suspend fun broken(entry: NamedEntry, sent: Identity, exchange: Exchange.Broken): CallerResult? {
        if (exchange.left) sent.wasSent = true
        if (!sent.wasSent) identity = null
        if (exchange.left && sent.text == null) return CallerResult.OutcomeUnknown("", exchange.detail)
        if (tries.failedAt(entry)) return null
        if (sent.wasSent) return CallerResult.OutcomeUnknown(sent.text.orEmpty(), exchange.detail)
        return CallerResult.Refused(exchange.detail)
    }

    private companion object {
        val CALLER_ERRORS = setOf(400, 401, 404, 413)
    }
}

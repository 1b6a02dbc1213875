package org.yuccajunction.caller

/** Sends one call to an application, and retries until the call has a final result or the time is over. */
internal class CallRetries(
    private val retries: EntryRetries,
    private val entryClient: EntryClient,
    private val call: CallerCall,
) {
    private var identity: RequestIdentity? = null

    suspend fun run(): CallerResult {
        while (true) {
            val entry = retries.nextEntry()
            val requestIdentity = identity ?: retries.newIdentity(entry).also { identity = it }
            val result = resultOf(entry, requestIdentity, entryClient.call(entry.address, call, requestIdentity))
            if (result != null) return result
        }
    }

    private suspend fun resultOf(
        entry: NamedEntry,
        requestIdentity: RequestIdentity,
        exchange: ExchangeResult,
    ): CallerResult? =
        when (exchange) {
            is ExchangeResult.Answered -> CallerResult.Answered(exchange.status, exchange.headers, exchange.body)
            is ExchangeResult.Problematic -> resultOfProblem(entry, requestIdentity, exchange)
            is ExchangeResult.Broken -> resultOfBrokenExchange(entry, requestIdentity, exchange)
        }

    private suspend fun resultOfProblem(
        entry: NamedEntry,
        requestIdentity: RequestIdentity,
        exchange: ExchangeResult.Problematic,
    ): CallerResult? {
        val problem = exchange.problem
        if (problem.outcome == "unknown") {
            return CallerResult.OutcomeUnknown(requestIdentity.text.orEmpty(), problem.detail)
        }
        if (!problem.notRun) return CallerResult.Failed(exchange.status, problem.detail)
        requestIdentity.mayHaveBeenSent = requestIdentity.mayHaveBeenSent && !problem.identityRetired
        if (problem.identityRetired) identity = null
        val isFinal = exchange.status in CALLER_ERRORS || !retries.backOffAfterRefusal(entry, problem)
        return if (isFinal) CallerResult.Refused(problem.detail) else null
    }

    private suspend fun resultOfBrokenExchange(
        entry: NamedEntry,
        requestIdentity: RequestIdentity,
        exchange: ExchangeResult.Broken,
    ): CallerResult? {
        if (exchange.mayHaveReachedEntry) requestIdentity.mayHaveBeenSent = true
        if (!requestIdentity.mayHaveBeenSent) identity = null
        if (exchange.mayHaveReachedEntry && requestIdentity.text == null) {
            return CallerResult.OutcomeUnknown("", exchange.detail)
        }
        if (retries.backOffAfterFailure(entry)) return null
        if (requestIdentity.mayHaveBeenSent) {
            return CallerResult.OutcomeUnknown(requestIdentity.text.orEmpty(), exchange.detail)
        }
        return CallerResult.Refused(exchange.detail)
    }

    private companion object {
        val CALLER_ERRORS = setOf(400, 401, 404, 413)
    }
}

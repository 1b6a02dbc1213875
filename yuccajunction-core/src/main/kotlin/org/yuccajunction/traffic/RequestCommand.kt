package org.yuccajunction.traffic

import org.yuccajunction.model.Ending
import org.yuccajunction.port.ApplicationOutcome
import org.yuccajunction.routing.AttemptObservation
import org.yuccajunction.routing.AttemptResult
import org.yuccajunction.routing.ServerRoute

/** A command of a [RequestMachine] to its driver, which performs the input and output. */
public sealed interface RequestCommand {
    /**
     * Send attempt number [attempt] to [server], to continue after [generatedTokens] tokens.
     *
     * The machine has acquired a permit of the server, and releases the permit when the attempt ends.
     */
    public data class Dispatch(
        public val attempt: Int,
        public val server: ServerRoute,
        public val generatedTokens: Int = 0,
    ) : RequestCommand

    /** Close the connection of attempt number [attempt] and ignore its further data. */
    public data class Cancel(public val attempt: Int) : RequestCommand

    /** Send token number [offset] of the answer to the caller. */
    public data class DeliverToken(public val offset: Int, public val text: String) : RequestCommand

    /** Send the application's answer to the caller. */
    public class DeliverAnswer(public val answer: ApplicationOutcome.Answered) : RequestCommand

    /** Record the observation of one ended attempt. */
    public data class RecordObservation(public val observation: AttemptObservation) : RequestCommand

    /** Count and log a retry at another server after an attempt that ended with [cause]. */
    public data class ReportRetry(public val cause: AttemptResult, public val recomputedTokens: Int) : RequestCommand

    /** End the request. [finishReason] is the reason that the model engine gave, null where there is none. */
    public data class End(public val ending: Ending, public val finishReason: String? = null) : RequestCommand
}

package org.yuccajunction.traffic

import org.yuccajunction.model.Ending
import org.yuccajunction.port.ApplicationOutcome
import org.yuccajunction.routing.AttemptObservation
import org.yuccajunction.routing.AttemptResult
import org.yuccajunction.routing.ServerRoute

/** What the machine of one request asks its driver to do. */
public sealed interface RequestCommand {
    /**
     * Send attempt number [attempt] to [server], going on after [generatedTokens] tokens.
     *
     * A permit of the server has been taken; the machine returns it when the attempt ends.
     */
    public data class Dispatch(
        public val attempt: Int,
        public val server: ServerRoute,
        public val generatedTokens: Int = 0,
    ) : RequestCommand

    /** Close the connection of attempt number [attempt] and ignore what it still says. */
    public data class Cancel(public val attempt: Int) : RequestCommand

    /** Pass one token on to the caller. */
    public data class DeliverToken(public val offset: Int, public val text: String) : RequestCommand

    /** Pass the application's answer on to the caller. */
    public class DeliverAnswer(public val answer: ApplicationOutcome.Answered) : RequestCommand

    /** Post what one ended attempt showed. */
    public data class RecordObservation(public val observation: AttemptObservation) : RequestCommand

    /** Count and log that the request goes on at another server because of [cause]. */
    public data class ReportRetry(public val cause: AttemptResult, public val recomputedTokens: Int) : RequestCommand

    /** Give the final answer now. [finishReason] is the engine's, null where there is none. */
    public data class End(public val ending: Ending, public val finishReason: String? = null) : RequestCommand
}

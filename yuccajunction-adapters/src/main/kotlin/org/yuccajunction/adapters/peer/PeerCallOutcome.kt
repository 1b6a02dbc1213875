package org.yuccajunction.adapters.peer

import io.grpc.Status

/** How one call to a peer ended. */
internal sealed interface PeerCallOutcome<out A> {
    data class Answered<A>(val answer: A) : PeerCallOutcome<A>

    /** No answer came; [mayHaveBeenSent] is false where no byte of the call can have left. */
    data class Failed(val status: Status, val mayHaveBeenSent: Boolean) : PeerCallOutcome<Nothing>
}

package org.yuccajunction.adapters.peer

import io.grpc.Status

/** Outcome of one call to a peer. */
internal sealed interface PeerCallOutcome<out A> {
    data class Answered<A>(val answer: A) : PeerCallOutcome<A>

    /** The call got no answer; [mayHaveBeenSent] is false if certainly no byte of the call was sent. */
    data class Failed(val status: Status, val mayHaveBeenSent: Boolean) : PeerCallOutcome<Nothing>
}

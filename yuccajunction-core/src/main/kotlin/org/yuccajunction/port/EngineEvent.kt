package org.yuccajunction.port

/** What a model engine reports while it generates. */
public sealed interface EngineEvent {
    /** The engine has accepted the request. */
    public data object Accepted : EngineEvent

    /** Token number [offset], counted from 0 over the whole answer, has the text [text]. */
    public data class Token(public val offset: Int, public val text: String) : EngineEvent

    /** The answer is whole after [tokens] tokens. */
    public data class Completed(
        public val tokens: Int,
        public val finishReason: String,
        public val promptTokens: Int = 0,
        public val cachedTokens: Int = 0,
    ) : EngineEvent

    /** The server refused before running anything, or could not be connected to. */
    public data class Rejected(public val detail: String, public val unreachable: Boolean) : EngineEvent

    /** The server answered with an error. */
    public data class Failed(public val status: Int, public val detail: String) : EngineEvent

    /** The stream ended without its end marker, or failed a check. */
    public data class Broken(public val detail: String, public val invalid: Boolean = false) : EngineEvent
}

package org.yuccajunction.port

/** An event of one generation at a model engine. */
public sealed interface EngineEvent {
    /** The engine has accepted the request. */
    public data object Accepted : EngineEvent

    /** One token with the text [text]; [offset] counts from 0 over the whole answer, including earlier attempts. */
    public data class Token(public val offset: Int, public val text: String) : EngineEvent

    /** The answer is complete after [tokens] tokens. */
    public data class Completed(
        public val tokens: Int,
        public val finishReason: String,
        public val promptTokens: Int = 0,
        public val cachedTokens: Int = 0,
    ) : EngineEvent

    /** The backend server rejected the request before execution, or ([unreachable]) could not be connected to. */
    public data class Rejected(public val detail: String, public val unreachable: Boolean) : EngineEvent

    /** The backend server answered with the HTTP error [status]. */
    public data class Failed(public val status: Int, public val detail: String) : EngineEvent

    /** The stream ended without an end marker, or ([invalid]) failed a check. */
    public data class Broken(public val detail: String, public val invalid: Boolean = false) : EngineEvent
}

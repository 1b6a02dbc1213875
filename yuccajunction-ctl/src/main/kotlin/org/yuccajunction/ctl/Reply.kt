package org.yuccajunction.ctl

/** Result of a request to the operator port of an entry. */
public sealed interface Reply<out T> {
    /** The entry answered with [value]. */
    public data class Answer<T>(public val value: T) : Reply<T>

    /** The entry refused the request. */
    public data class Refused(public val status: Int, public val detail: String) : Reply<Nothing>

    /**
     * No entry answered.
     *
     * @property mayHaveBeenReceived whether an entry may have received the request
     */
    public data class Unreachable(public val detail: String, public val mayHaveBeenReceived: Boolean) : Reply<Nothing>
}

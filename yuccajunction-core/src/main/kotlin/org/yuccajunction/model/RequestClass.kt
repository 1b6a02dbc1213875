package org.yuccajunction.model

import kotlinx.serialization.Serializable

/** Ranks requests when capacity is short; the first is shed last. */
@Serializable
public enum class RequestClass {
    /** Print confirmations, truck dispatches and the look-ups beside them. */
    ORDER,

    /** Answers that a person waits for on site. */
    INTERACTIVE,

    /** Drafts and tags that bear a short delay. */
    DRAFT,
}

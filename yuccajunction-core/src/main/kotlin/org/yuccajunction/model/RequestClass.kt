package org.yuccajunction.model

import kotlinx.serialization.Serializable

/** The priority of a request when capacity is short; the first class is rejected last. */
@Serializable
public enum class RequestClass {
    /** Print confirmations, truck dispatches and the lookups that they need. */
    ORDER,

    /** Requests whose answer a person on site waits for. */
    INTERACTIVE,

    /** Drafts and tags, which tolerate a short delay. */
    DRAFT,
}

package org.yuccajunction.entries

import kotlinx.serialization.Serializable

/** What one datagram between entries holds; one of its parts is present. */
@Serializable
public data class EntryDatagram(
    public val message: EntryMessage? = null,
    public val question: ConfirmationQuestion? = null,
    public val answer: ConfirmationAnswer? = null,
)

package org.yuccajunction.configuration

import org.yuccajunction.membership.Polling
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.Revision

/**
 * What an entry knows of configurations besides the one in force.
 *
 * @property highest the highest revision heard of from the object API or any peer; it never goes down
 * @property reading when the head is to be read next from the object API
 * @property pullingSince when a pull from a peer was begun, null while none is under way
 */
public data class ConfigurationState(
    public val highest: Revision = Revision.NONE,
    public val reading: Polling = Polling(),
    public val pullingSince: MonotonicTime? = null,
)

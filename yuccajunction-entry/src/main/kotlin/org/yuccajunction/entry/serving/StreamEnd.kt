package org.yuccajunction.entry.serving

import org.yuccajunction.model.Ending

/** How a held stream ended; [finishReason] is the engine's, null where it gave none. */
internal data class StreamEnd(val ending: Ending, val finishReason: String? = null)
